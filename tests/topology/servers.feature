Feature: Backend servers around outages of the store

  Scenario: Entries that lapse in an outage are kept for a moment
    The store is away; the servers live, but their entries lapse. When the
    store is back the list is empty for two seconds. Requests go on.

    Given 3 listed servers
    When the store is away and comes back with an empty list
    Then 3 servers take work

  Scenario: Who does not come back in time is gone
    Given 3 listed servers
    When the store is away and comes back with an empty list
    And 1.7 seconds pass
    Then 0 servers take work

  Scenario: Who comes back is kept
    Given 3 listed servers
    When the store is away and comes back with an empty list
    And the first server is listed again
    And 1.7 seconds pass
    Then 1 server takes work

  Scenario: In calm a server that vanishes is gone at once
    Given 3 listed servers
    When the first server vanishes
    Then 2 servers take work

  Scenario: A leaving server is not kept over an outage
    Given 3 listed servers
    When the first server is leaving
    And the store is away and comes back with an empty list
    Then 2 servers take work

  Scenario: An address that another server has taken is not kept
    Given 3 listed servers
    When the store is away and comes back with a new server at the first address
    Then the old one at that address takes no work
