Feature: The client for the platform's store

  Scenario: Every page of a list is read
    Given a store with 7 servers
    Then the client lists 7 objects

  Scenario: A change reaches a watch at once
    Given a store with 1 server
    When a server is added while the client watches
    Then the watch tells 1 change within 0.5 seconds

  Scenario: An empty watch ends in time and carries on from the revision
    Given a store with 1 server
    When the client watches for 0.2 seconds and nothing changes
    Then the watch tells 0 changes within 0.5 seconds

  Scenario: History that is gone is told, not passed over
    Given a store with 1 server
    When the history is forgotten while the client watches
    Then the client says the watch is lost

  Scenario Outline: A store that refuses has done nothing
    Given a store with 1 server
    When the store answers <fault>
    Then a list says the store is <said>

    Examples:
      | fault | said        |
      | busy  | unavailable |
      | many  | throttled   |

  Scenario: A store that says nothing is given up on
    Given a store with 1 server
    When the store answers silent
    Then within 1.2 seconds a list says the store is unavailable

  Scenario: A write whose answer is lost is uncertain
    The write has taken effect; its answer never comes. Taken for a refusal,
    it would be made again or a lease that is held would be given up.

    Given a store with 1 server
    When answers to writes are lost
    Then a write is uncertain, and stands in the store

  Scenario: Of two writers on one revision one loses, and learns what stands
    Given a store with 1 server
    When two writers replace the same revision
    Then one of them is told what stands there
