Feature: A view of the store that a neighbour lends

  The store answers some thousand calls a second, and its rates grow more
  slowly than the fleet. One instance of a failure domain watches for all.
  The load is that of the users' grown sheet: 26 entries, one change a second.

  Scenario: One watcher calls the store for all entries
    Given 26 entries, 3 sides and a store with a configuration
    When they have run for 60 seconds with a change each second
    Then every entry has had each change within 0.3 seconds
    And the store got at most 500 calls

  Scenario: An older view is never taken for a newer one
    The neighbour was cut from the store before a server began to leave. This
    entry has read of it. Were the neighbour's list taken, the server would
    get work again.

    Given an entry that has read the store at 10.0 seconds
    When a neighbour tells a view that was whole at 9.9 seconds
    Then the entry's own view stays in force
    When a neighbour tells a view that was whole at 10.1 seconds
    Then the neighbour's view is in force

  Scenario: Objects that are all as new do as well while changes come fast
    Given an entry that has read the store at 10.0 seconds
    When a change of the object reaches the entry at 11.0 seconds
    And a neighbour tells the changed object, whole at 10.5 seconds
    Then the neighbour's view is in force

  Scenario: A deletion can't be told from a creation by its versions
    The entry has read that a server is gone; the neighbour still lists it.

    Given an entry that has read the store at 10.0 seconds
    When a deletion reaches the entry at 11.0 seconds
    And a neighbour tells the changed object, whole at 10.5 seconds
    Then the neighbour's view is not in force

  Scenario: What the own feed reads once the neighbour's view is in force
    The own feed is being stopped. An answer that was on its way to it is
    older than what the neighbour has told since.

    Given an entry that has read the store at 10.0 seconds
    When a neighbour tells a view that was whole at 10.1 seconds
    And the own feed brings an older object
    Then the neighbour's view is in force

  Scenario: A watcher that was cut from the store silently
    Its connection to the store says nothing any more, and nothing else
    shows. A key is taken away meanwhile; the entries must know in 2 s.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the watcher hears nothing more of the store
    And a change is made
    Then every entry has the change within 1.8 seconds

  Scenario: A watcher that dies
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the watcher dies
    And a change is made
    Then every entry has the change within 0.5 seconds
    And another side watches within 10 seconds

  Scenario: A watcher whose store refuses it says so
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And the store refuses the watcher
    And a change is made
    Then every entry has the change within 1.5 seconds

  Scenario: An entry that is cut from the store goes on by its neighbour
    Keyed work stops when the view of the keys is older than the bound. The
    neighbour still reads the store, so the entry's view stays young.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And entry 1 is cut from the store
    And they have run for 20 seconds
    Then the view of entry 1 is at most 2.5 seconds old

  Scenario: An entry that was suspended doesn't trust what waited for it
    The neighbour's confirmation lay in the socket's buffer for six seconds
    while the entry was suspended. Read now, it says what was true then; a
    key that was revoked meanwhile must not run.

    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And entry 1 is suspended for 6 seconds
    Then the view of entry 1 looks 5 seconds old on waking

  Scenario: An outage of the store is not made worse by its watchers
    Given 26 entries, 24 sides and a store with a configuration
    When they have run for 10 seconds
    And the store is away for 10 seconds
    Then at most 9 sides have called it in that time
    And every entry keeps servers that vanish around the outage

  Scenario: Nobody follows any more
    Given 5 entries, 2 sides and a store with a configuration
    When they have run for 10 seconds
    And all entries stop
    Then no side watches after 2 seconds
