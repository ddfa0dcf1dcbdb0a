Feature: A request that is reported as "not run" did not run

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry

  Scenario: A refused run request is sent again
    Given "side-c" refuses one run request and then returns "chart"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the response has status 200 and is complete
    And "side-c" has received 2 run requests

  Scenario: A connection breaks before the response, and the request did not run
    The run request's connection breaks before the side has responded. The
    side then reports, bindingly, that it has not started the attempt and
    never will: the request is sent again.
    Given "side-c" closes one connection and then returns "chart"
    And the sides respond to status queries with "not_started"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the response has status 200 and is complete
    And "side-c" has received 2 run requests
    And the status query named the attempt and cancelled it

  Scenario: An entry that queries after the side's record has expired
    The entry was suspended for longer than a side keeps its records. The side
    no longer has a record of the attempt, which did run, and reports "not
    started". The caller does not get that, and the request is not sent again.
    Given "side-c" closes one connection and then returns "chart"
    And the sides respond to status queries with "not_started"
    And the entry trusts "not started" for 0 seconds after the dispatch
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "outcome_unknown" and the request may have run
    And "side-c" has received 1 run request

  Scenario Outline: A connection breaks, and the request may have run
    It cannot be excluded that the warning was sent. The caller gets an error
    that is not one of the "not run" errors, and the request is not sent again.
    Given "side-c" closes one connection and then returns "chart"
    And the sides respond to status queries with "<fate>"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "<code>" and the request may have run
    And "side-c" has received 1 run request

    Examples:
      | fate     | code            |
      | running  | outcome_unknown |
      | finished | outcome_unknown |
      | failed   | server_failed   |
      | unknown  | outcome_unknown |

  Scenario: The status query gets no response
    Given "side-c" closes one connection and then returns "chart"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "outcome_unknown" and the request may have run
    And "side-c" has received 1 run request

  Scenario: A repeatable request that ran is not reported as "not run"
    A lookup runs on a server that crashes. It may be repeated, but no slot
    becomes free before its deadline. The last decision is "not run", which is
    true of the second attempt only.
    Given "side-c" closes the connection and has no free slot afterwards
    And the sides respond to status queries with "failed"
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the error is 502 "server_failed" and the request may have run
    And "side-c" has received 1 run request

  Scenario: Without free slots a request is rejected at its deadline
    Given all sides are busy
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 503 "not_run_deadline" and the request did not run
    And the response has a Retry-After header
    And no side has received a run request

  Scenario: A side that cannot be reached has not run the request
    Given "side-c" has stopped listening while its link is up
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error says that the request did not run
