Feature: The servers that one request may ask

  Scenario: An order is not worked out anew for each asking
    A crowded entry with a third of a core refuses a hundred requests a second,
    each after several askings. Working out the order of all servers for each
    of them left its callers unread for seconds.

    Given 5 servers that tell of room
    When a request asks 4 of them within 0.05 seconds
    Then each was asked once, the best first
    And their order was worked out 0 times more

  Scenario: A stale order is worked out anew
    Given 5 servers that tell of room
    When a request has waited for 0.2 seconds at the first
    And the second has 3 seconds to read by now
    Then the third is the next best
    And their order was worked out 1 time more
