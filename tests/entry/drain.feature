Feature: An entry that shuts down cuts off no request

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry

  Scenario: What runs and what waits is finished
    A stream is running and a call waits when the drain begins. The balancer
    is told at once and still sends a caller, who is served. Later callers are
    refused, and when the last answer is whole the entry ends.
    Given "side-a" streams 7 events slowly and the terminal
    And "side-c" holds what it answers, which is "chart"
    And a caller waits for a streamed completion
    And a caller waits for "/services/chart-api/charts"
    When the entry is told to drain
    Then the entry is not ready at once
    And a new caller is still served
    When the balancer has had its time
    Then a new caller is told "not_run_draining"
    When "side-c" lets go
    Then all waiting callers get their whole answers
    And the entry ends by itself

  Scenario: Who is served while the entry leaves is told that it leaves
    Guards against a kept connection on which the next request crosses the
    close: the answer before it says that it is the last one.
    When the entry is told to drain
    And a caller gets "/v1/models"
    Then the answer has status 200 and is whole
    And the answer has header "connection" of "close"

  Scenario: A drain has a bound
    Given "side-c" holds what it answers, which is "chart"
    And a caller waits for "/services/chart-api/charts"
    When the entry is told to drain
    Then the entry ends by itself
    And the waiting caller's answer is cut or an error
