Feature: The order of servers that one request tries

  Scenario: The order is not computed again for each try
    A crowded entry with a third of a core refuses a hundred requests a second,
    each after several tries. Computing the order of all servers for each of
    them left its callers' connections unread for seconds.

    Given 5 servers that report free capacity
    When a request tries 4 of them within 0.05 seconds
    Then each was tried once, the best first
    And their order was computed 0 more times

  Scenario: A stale order is computed again
    Given 5 servers that report free capacity
    When a request has waited for 0.2 seconds at the first
    And the second has a queue of 3 seconds now
    Then the third is the next best
    And their order was computed 1 more time
