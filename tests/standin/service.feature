Feature: Stand-in for a plain service

  Scenario: It echoes a request
    Given a plain service
    When it is sent PATCH "/a/b?c=1&header=x-shade:blue&status=207" with "hello"
    Then the status is 207 and the header "x-shade" is "blue"
    And the echo has the method, target and digest of "hello"

  Scenario: Lookups are deterministic
    Given a plain service
    When it is sent GET "/lookup/42" with ""
    Then the looked up title is "title-42"

  Scenario: Renders are counted by key
    Given a plain service
    When the render "k1" is sent twice
    Then the second response reports execution 2
    And the service counted 2 executions of "k1"

  Scenario: A large body
    Given a plain service
    When it is sent GET "/file?bytes=1000003" with ""
    Then the body has 1000003 bytes

  Scenario: A large body is truncated
    Given a plain service
    And its faults are {"cut_after_chunks": 3}
    When it is sent GET "/file?bytes=1000003" with ""
    Then the response was interrupted

  Scenario Outline: A service stutters
    It sends each response a second time, with the id of the request, so that
    tests can show that no caller gets a response that is not its own.
    Given a plain service
    And its faults are {"second_response_seconds": <seconds>}
    When a connection sends GET "/a" with exchange id "e1" and reads 2 responses
    Then both responses are the same and have exchange id "e1"

    Examples:
      | seconds |
      | 0       |
      | 0.1     |

  Scenario: A negative delay of the second response is refused
    Given a plain service
    Then the faults {"second_response_seconds": -1} are refused for "greater_than_equal"

  Scenario Outline: A service asks for rest
    It refuses requests with the time for which it wants no others; none runs.
    Given a plain service
    And its faults are {"rest_seconds": <seconds>}
    When it is sent POST "/a" with ""
    Then the status is 503 and the header "retry-after" is "<header>"
    And the service counted 0 executions of "POST /a"
    When its faults become {}
    And it is sent POST "/a" with ""
    Then the status is 200 and the response has no header "retry-after"

    Examples:
      | seconds | header |
      | 3       | 3      |
      | 0.25    | 0.25   |

  Scenario: A service that leaves says so in every response
    Given a plain service
    And its faults are {"leaving": true}
    When it is sent GET "/a" with ""
    Then the status is 200 and the header "server-leaving" is "1"
    When its faults become {"leaving": true, "error_status": 500}
    And it is sent GET "/a" with ""
    Then the status is 500 and the header "server-leaving" is "1"
    When its faults become {}
    And it is sent GET "/a" with ""
    Then the status is 200 and the response has no header "server-leaving"

  Scenario Outline: Invalid settings of rest and leaving are refused
    Given a plain service
    Then the faults <faults> are refused for "<reason>"

    Examples:
      | faults                     | reason             |
      | {"rest_seconds": -1}       | greater_than_equal |
      | {"rest_seconds": Infinity} | finite_number      |
      | {"rest_seconds": NaN}      | finite_number      |
      | {"leaving": "perhaps"}     | bool_parsing       |

  Scenario: A render runs to its end though its caller disconnected
    The caller disconnects while the service is frozen, and the freeze ends
    later. The render then runs: a closed connection does not mean that the
    request did not run.
    Given a plain service
    And its faults are {"frozen": true}
    When the render "late" is sent and given up after 0.2 seconds
    And its faults become {}
    Then the service soon counts 1 finished execution of "late"
