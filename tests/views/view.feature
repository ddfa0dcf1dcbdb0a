Feature: A view of the store borrowed from a neighbour

  The store responds to some thousand calls a second, and this rate grows more
  slowly than the fleet. One instance of a failure domain watches for all. The
  load is that of the users' enlarged deployment: 26 entries, one change a
  second.

  Scenario: One watcher calls the store for all entries
    Given 26 entries, 3 sides and a store with a configuration
    When they have run for 60 seconds with a change each second
    Then every entry has had each change within 0.3 seconds
    And the store got at most 500 calls

  Scenario: An older view never replaces a newer one
    The neighbour was disconnected from the store before a server began to
    drain. This entry has read the change. With the neighbour's list the server
    would get work again.

    Given an entry that has read the store at 10.0 seconds
    When a neighbour sends a view that was complete at 9.9 seconds
    Then the entry's direct view stays in effect
    When a neighbour sends a view that was complete at 10.1 seconds
    Then the neighbour's view is in effect

  Scenario: A view with equally new objects is accepted while changes are frequent
    Given an entry that has read the store at 10.0 seconds
    When a change of the object reaches the entry at 11.0 seconds
    And a neighbour sends the changed object, complete at 10.5 seconds
    Then the neighbour's view is in effect

  Scenario: Versions don't distinguish a deletion from a creation
    The entry has read that a server was removed; the neighbour still lists it.

    Given an entry that has read the store at 10.0 seconds
    When a deletion reaches the entry at 11.0 seconds
    And a neighbour sends the changed object, complete at 10.5 seconds
    Then the neighbour's view is not in effect

  # Guards against the list of a neighbour that has not confirmed it.
  Scenario: A view that was never confirmed is not taken
    Given an entry that has read nothing
    When a neighbour sends a view that it does not confirm
    Then the neighbour's view is not in effect

  # Guards against a server that gets work again, because a second neighbour's
  # view is older than what the first one had sent.
  Scenario: The view of a second neighbour is not older than that of the first
    Given an entry that has read the store at 10.0 seconds
    When a neighbour sends a view that was complete at 10.1 seconds
    And that neighbour sends a deletion at 12.0 seconds, and is lost
    And a neighbour sends an older view that was complete at 11.0 seconds
    Then the older view is not in effect

  Scenario: The direct feed is ignored once the neighbour's view is in effect
    The direct feed is being stopped. A response that was in transit to it is
    older than what the neighbour has sent since.

    Given an entry that has read the store at 10.0 seconds
    When a neighbour sends a view that was complete at 10.1 seconds
    And the direct feed delivers an older object
    Then the neighbour's view is in effect

  Scenario: A watcher that is silently disconnected from the store
    Its connection to the store delivers nothing any more, without any error. A
    key is revoked during that time; the entries must know within 2 s.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the watcher receives nothing more from the store
    And a change is made
    Then every entry has the change within 1.8 seconds

  Scenario: A watcher that crashes
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the watcher crashes
    And a change is made
    Then every entry has the change within 0.5 seconds
    And another side watches within 10 seconds

  Scenario: A watcher that the store refuses is left after the timeout
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the store refuses the watcher
    And a change is made
    Then every entry has the change within 1.8 seconds

  Scenario: A store that drops its history ends every watch
    The watcher's call fails once and the next one succeeds. If the entries left
    it at the failure, all of them would list everything again at the same time.

    Given 26 entries, 3 sides and a store with a configuration
    When they have run for 10 seconds
    And the store ends the watches
    Then no entry has called the store in the next 5 seconds

  # Guards against a removed server that is kept as if its record had expired
  # in an outage, because a neighbour's call failed.
  Scenario: A server that is removed while the watches end gets no more work
    Given 26 entries, 3 sides and a store with a configuration
    And 3 servers in the store
    When they have run for 10 seconds
    And the store ends the watches
    And server 1 is removed
    Then server 1 gets no work after 0.5 seconds

  Scenario: An entry without the store continues through its neighbour
    Requests with an API key are refused when the view of the keys is older than
    the bound. The neighbour still reads the store, so the entry's view stays
    fresh.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And entry 1 is disconnected from the store
    And they have run for 20 seconds
    Then the view of entry 1 is at most 2.5 seconds old

  Scenario: An entry that was suspended counts buffered confirmations as old
    The neighbour's confirmation was in the socket's buffer for six seconds
    while the entry was suspended. It confirms what was true then; requests with
    a key revoked during that time must not run.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And entry 1 is suspended for 6 seconds
    Then the view of entry 1 looks 5 seconds old after the suspension

  Scenario: Retries don't overload a store that is unreachable
    Every instance retries. An entry whose neighbour retries too does so less
    often, and the neighbour reports the return of the store to it.

    Given 26 entries, 24 sides and a store with a configuration
    When they have run for 10 seconds
    And the store is unreachable for 10 seconds
    Then it was called at most 500 times during that time
    And every entry reads it again within 0.7 seconds

  Scenario: Servers whose records expire in an outage get work after it
    One of them does not come back, and gets none 2 s after the store's return.

    Given 26 entries, 24 sides and a store with a configuration
    And 3 servers in the store
    When they have run for 10 seconds
    And the store is unreachable for 10 seconds, and all servers expire
    Then all servers get work during the next 1 second
    When servers 2 and 3 are listed again
    Then server 1 gets no work after 0.9 seconds
    And servers 2 and 3 get work

  # Guards against servers that all get no work until the store returns a second
  # time: entries learned too late from their neighbour that it had failed again.
  Scenario: The store fails again before the servers are listed
    Given 26 entries, 24 sides and a store with a configuration
    And 3 servers in the store
    When they have run for 10 seconds
    And the store is unreachable for 5 seconds, and all servers expire
    And 0.7 seconds later it is unreachable again
    Then all servers get work during the next 10 seconds

  # Guards against requests that reach a server more than 2 s after the store
  # has accepted its leaving; 0.2 s of these are the request's own.
  Scenario Outline: A leaving is in effect in time: <form>, <trouble>
    Given <entries> entries, <sides> sides and a store with a configuration
    And 3 servers in the store
    When they have run for 10 seconds
    And <trouble>
    And server 1 <form>
    Then server 1 gets no work after 1.8 seconds
    And servers 2 and 3 get work

    Examples:
      | entries | sides | form           | trouble                                       |
      | 5       | 2     | leaves         | all is well                                   |
      | 5       | 2     | is removed     | all is well                                   |
      | 5       | 2     | leaves         | the responses for the servers are lost        |
      | 5       | 2     | is removed     | the responses for the servers are lost        |
      | 5       | 2     | leaves         | the store refuses all sides                   |
      | 5       | 2     | is removed     | the store refuses all sides                   |
      | 5       | 2     | is removed     | the store refuses all sides by turns          |
      | 5       | 2     | leaves         | the watcher receives nothing more from the store |
      | 5       | 2     | is removed     | the watcher receives nothing more from the store |
      | 5       | 2     | is removed     | the watcher crashes                           |
      | 5       | 0     | leaves         | the responses for the servers are lost        |
      | 5       | 0     | is removed     | the responses for the servers are lost        |


  Scenario: After an outage all entries subscribe to a watcher again
    Given 26 entries, 24 sides and a store with a configuration
    When they have run for 10 seconds
    And the store is unreachable for 10 seconds
    And they have run for 50 seconds
    Then at most 3 sides watch and every entry subscribes to one

  Scenario: A watcher without subscribers stops
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And all entries stop
    Then no side watches after 2 seconds
