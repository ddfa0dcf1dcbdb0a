Feature: A caller receives its own complete response

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry

  Scenario: A streamed chat completion
    Given "side-a" streams 3 events and the end event
    When a caller requests a streamed completion
    Then the response has status 200 and is complete
    And the response body is 3 events and the end event
    And the response has header "content-type" with value "text/event-stream"

  Scenario Outline: A stream that the engine sends twice in one response
    An engine that stutters continues after its end event. The caller gets the
    stream once, and no half of a second one that breaks.
    Given "side-a" streams 3 events and the end event, then again <how>
    When a caller requests a streamed completion
    Then the response has status 200 and is complete
    And the response body is 3 events and the end event

    Examples:
      | how           |
      | as a whole    |
      | at once       |
      | until a break |

  Scenario: A stream whose text has the end marker on a line of its own
    Guards against streams that are cut at a line of text and look complete.
    Given "side-a" streams 3 events, the second with a line "[DONE]"
    When a caller requests a streamed completion
    Then the response has status 200 and is complete
    And the response body is what "side-a" streamed

  Scenario: A non-streamed chat completion
    Given "side-a" returns a completion of 40 tokens
    When a caller requests a non-streamed completion
    Then the response has status 200 and is complete
    And the response body is the completion
    And the run request at "side-a" is a POST of "/v1/chat/completions" and repeatable
    And "side-a" received the body unchanged

  Scenario: A routing decision is logged as one line with its fields
    Given "side-a" returns a completion of 40 tokens
    When a caller requests a non-streamed completion
    Then the decision "dispatch" is logged with
      | prefix | level | workspace | pool    | backend_server | reason    |
      | entry  | INFO  | pilot     | ice-llm | side-a-server  | free slot |
    And the line names the request and the attempt that the side received

  Scenario: The cost estimate follows the actual cost
    Given "side-a" returns a completion of 40 tokens
    When a caller requests a non-streamed completion
    And a caller requests a non-streamed completion
    Then the second run request at "side-a" has a lower estimated cost

  Scenario Outline: Requests and responses of a service are passed through unchanged
    Given "side-c" returns status <status> and "<text>"
    When a caller sends <method> to "/services/chart-api<path>" with body "<body>"
    Then the response has status <status> and is complete
    And the response body is "<text>"
    And the run request at "side-c" is a <method> of "<path>"
    And "side-c" received body "<body>"

    Examples:
      | method  | path                | body | status | text   |
      | GET     | /charts?day=1&day=2 |      | 200    | chart  |
      | PUT     | /a%2Fb/..//c?x=%20  | new  | 201    | made   |
      | DELETE  | /charts/1           |      | 204    |        |
      | PATCH   | /                   | part | 409    | no     |
      | POST    | /warn               | text | 500    | failed |
      | OPTIONS | /charts             |      | 200    |        |

  Scenario: The response to HEAD has a content-length and no body
    Given "side-c" responds to HEAD with length 1000
    When a caller sends HEAD to "/services/chart-api/charts" with body ""
    Then the response has status 200 and is complete
    And the response has header "content-length" with value "1000"

  Scenario: End-to-end headers are forwarded, hop-by-hop headers are not
    Given "side-c" returns hop-by-hop and end-to-end headers
    When a caller sends hop-by-hop and end-to-end headers
    Then the run request at "side-c" has only the caller's end-to-end headers
    And the response has only the server's end-to-end headers

  Scenario: A large response of a service is relayed while it arrives
    Given "side-c" returns 3 chunks of 200000 bytes
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the response has status 200 and is complete
    And the response body has 600000 bytes

  Scenario Outline: A truncated stream never looks complete
    The engine crashes during a stream. The caller has a part of it and gets an
    error event, but neither the stream's end event nor the end marker of the
    HTTP framing.
    Given "side-a" <how>
    When a caller requests a streamed completion
    Then the response is truncated after 2 events and one error "answer_cut"
    And the side has received a status query
    And "side-a" has received 1 run request

    Examples:
      | how                                             |
      | streams 2 events and breaks                     |
      | streams 2 events and ends without the end event |
      | streams 2 events, half of one, and breaks       |

  Scenario: A stream continues when the link of its side is lost
    The control link breaks permanently while events still arrive. The stream
    is not cancelled for that, and the caller gets all of it.
    Given "side-a" streams 8 events slowly and the end event
    And a caller waits for a streamed completion
    When the link of "side-a" is closed permanently
    Then all waiting callers get complete responses

  Scenario: A service's truncated response never looks complete
    Given "side-c" returns 2 chunks of 200000 bytes and breaks
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the response is truncated

  Scenario: A short response that breaks is retried transparently
    The first engine crashes after half of a non-streamed response. None of it
    was sent to the caller, and the request may be repeated: the caller only
    gets the second engine's response.
    Given side "side-b" of pool "ice-llm" is linked
    And the first side that is used breaks a non-streamed response
    And the next one returns a completion of 40 tokens
    And the sides respond to status queries with "failed"
    When a caller requests a non-streamed completion
    Then the response has status 200 and is complete
    And the response body is the completion
    And the sides have received 2 run requests in total

  Scenario: The run request of a second attempt is marked as suspect
    Guards against unrelated callers that are rejected for minutes: the side
    must know which requests were running when a server crashed, to keep them
    apart.
    Given side "side-b" of pool "ice-llm" is linked
    And the first side that is used breaks a non-streamed response
    And the next one returns a completion of 40 tokens
    And the sides respond to status queries with "failed"
    When a caller requests a non-streamed completion
    Then the response has status 200 and is complete
    And the second run request is marked as suspect and the first is not

  Scenario: A request that may not be repeated is not retried
    Given "side-c" breaks a non-streamed response
    And the sides respond to status queries with "failed"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "server_failed" and the request may have run
    And "side-c" has received 1 run request

  Scenario: The request of a caller that disconnects is cancelled
    Given "side-a" delays an empty response
    When a caller requests a streamed completion and disconnects while it runs
    Then "side-a" sees its connection closed
    And no request is open
    And the attempt ended as "abandoned"

  Scenario: The waiting request of a caller that disconnects is removed
    Given all sides are busy
    When a caller requests a streamed completion and disconnects while it waits
    Then no request is open
    And no side has received a run request

  Scenario: A caller that does not read is disconnected
    The caller requests a large response and does not read it. It is
    disconnected after the time limit, so that the server's slot is free again.
    Given "side-c" returns 400 chunks of 100000 bytes
    When a caller requests "/services/chart-api/charts" and reads nothing
    Then no request is open

  Scenario: Two requests on one connection get their responses in order
    Given "side-c" returns status 200 and "chart"
    And "side-a" returns a completion of 40 tokens
    When a caller pipelines a completion and a service call
    Then the responses are the completion and "chart"
