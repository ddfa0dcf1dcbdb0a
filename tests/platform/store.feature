Feature: The client of the platform's store

  Scenario: Every page of a list is read
    Given a store with 7 servers
    Then the client lists 7 objects

  Scenario: A watch returns a change immediately
    Given a store with 1 server
    When a server is added while the client watches
    Then the watch returns 1 change within 0.5 seconds

  Scenario: An empty watch ends in time and returns the store's revision
    Given a store with 1 server
    When the client watches for 0.2 seconds and nothing changes
    Then the watch returns 0 changes within 0.5 seconds

  Scenario: A watch whose history was discarded fails
    Given a store with 1 server
    When the history is discarded while the client watches
    Then the client reports that the watch is lost

  Scenario Outline: A rejected call has no effect
    Given a store with 1 server
    When the store has the fault <fault>
    Then a list fails because the store is <reason>

    Examples:
      | fault | reason      |
      | busy  | unavailable |
      | many  | throttled   |

  Scenario: A call to a silent store times out
    Given a store with 1 server
    When the store has the fault silent
    Then within 1.2 seconds a list fails because the store is unavailable

  Scenario: A write whose response is lost is uncertain
    The write takes effect, but its response never arrives. If it were treated
    as rejected, it would be repeated, or a lease that is held would be given up.

    Given a store with 1 server
    When responses to writes are lost
    Then a write is uncertain, and its value is in the store

  Scenario: Of two writers of one revision, one fails and gets the current object
    Given a store with 1 server
    When two writers replace the same revision
    Then one of them receives the current version
