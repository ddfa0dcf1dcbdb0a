Feature: "Not run" is true

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry

  Scenario: A refused order is sent again
    Given "side-c" refuses once and then answers "chart"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the answer has status 200 and is whole
    And "side-c" has received 2 orders

  Scenario: A connection that breaks before the side's word, and it did not run
    The order's connection breaks before the side has said a word. The side
    says, bindingly, that it has not started and never will: it is sent again.
    Given "side-c" breaks off once and then answers "chart"
    And the sides answer questions with "not_started"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the answer has status 200 and is whole
    And "side-c" has received 2 orders
    And the question named the attempt and cancelled it

  Scenario: An entry that asks after the side's memory has ended
    The entry was frozen for longer than a side keeps its records. By now the
    side knows nothing of an order that ran and says "not started"; the caller
    is not told so, and the order is not sent again.
    Given "side-c" breaks off once and then answers "chart"
    And the sides answer questions with "not_started"
    And the entry trusts no word that is older than 0 seconds
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "outcome_unknown" and may have run
    And "side-c" has received 1 order

  Scenario Outline: A connection that breaks, and it may have run
    Nobody can promise that the warning was not sent. The caller is told so,
    in words other than "not run", and the order is not sent again.
    Given "side-c" breaks off once and then answers "chart"
    And the sides answer questions with "<fate>"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "<code>" and may have run
    And "side-c" has received 1 order

    Examples:
      | fate     | code            |
      | running  | outcome_unknown |
      | finished | outcome_unknown |
      | failed   | server_failed   |
      | unknown  | outcome_unknown |

  Scenario: Nobody answers the question
    Given "side-c" breaks off once and then answers "chart"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "outcome_unknown" and may have run
    And "side-c" has received 1 order

  Scenario: A repeatable call that ran is not called "not run" afterwards
    A lookup runs on a server that dies. It may be repeated, but no capacity
    comes before its deadline. The last decision is "not run", and that is
    true of the second attempt alone.
    Given "side-c" breaks off and has no slot from then on
    And the sides answer questions with "failed"
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the error is 502 "server_failed" and may have run
    And "side-c" has received 1 order

  Scenario: Without capacity a request is given up at its deadline
    Given all sides are busy
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 503 "not_run_deadline" and did not run
    And the answer tells when to come back
    And no side has received an order

  Scenario: A side that is gone has not run anything
    Given "side-c" has stopped listening without the entry's knowledge
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error did not run
