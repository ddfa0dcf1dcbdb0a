Feature: An entry that shuts down interrupts no request

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry

  Scenario: Running and waiting requests are completed
    A stream is running and a call waits when the drain begins. The load
    balancer is informed immediately and still sends a caller, who is served.
    Later callers are rejected, and when the last response is complete the
    entry stops.
    Given "side-a" streams 7 events slowly and the end event
    And "side-c" delays its response "chart"
    And a caller waits for a streamed completion
    And a caller waits for "/services/chart-api/charts"
    When the entry starts to drain
    Then the entry is immediately not ready
    And a new caller is still served
    When the load balancer's delay has passed
    Then a new caller gets error "not_run_draining"
    When "side-c" sends what it delayed
    Then all waiting callers get complete responses
    And the entry stops by itself

  Scenario: Responses during a drain close their connection
    Guards against a kept-alive connection on which the next request is sent
    while the entry closes it: the response before announces the close.
    When the entry starts to drain
    And a caller gets "/v1/models"
    Then the response has status 200 and is complete
    And the response has header "connection" with value "close"

  Scenario: A drain has a time limit
    Given "side-c" delays its response "chart"
    And a caller waits for "/services/chart-api/charts"
    When the entry starts to drain
    Then the entry stops by itself
    And the waiting caller's response is truncated or an error
