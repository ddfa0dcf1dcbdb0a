Feature: Evidence on parts of prompts

  Scenario Outline: Crashes in a row block a part, a response clears it
    Guards against parts that are blocked on refuted evidence, or that stay free
    while engines crash on them.

    When these things happen to a part: <events>
    Then its status is <status>

    Examples:
      | events                                     | status  |
      | crash                                      | suspect |
      | crash, crash                               | suspect |
      | crash, crash, crash                        | blocked |
      | crash, crash, response                     | free    |
      | response, crash, crash                     | free    |
      | response, crash, crash, crash              | suspect |
      | response, crash, crash, crash, crash, crash | blocked |
      | crash, crash, response, crash, crash       | free    |
      | crash, 3 crashes at once                   | suspect |

  Scenario Outline: Each crash after a block lasts four times longer
    Guards against an engine that is lost every minute, and against parts that
    are blocked for good.

    When a part has <crashes> crashes in a row
    Then it is blocked for <seconds> seconds, and suspected after that

    Examples:
      | crashes | seconds |
      | 3       | 60      |
      | 4       | 240     |
      | 5       | 960     |

  Scenario: Processes that exchange all reports agree, in any order
    Guards against entries that treat one part differently for long.

    When 60 seeded histories are reported to 4 processes in different orders
    Then all processes give each part one status
