Feature: A caller receives its own whole answer

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry

  Scenario: A streamed chat completion
    Given "side-a" streams 3 events and the terminal
    When a caller asks for a streamed completion
    Then the answer has status 200 and is whole
    And the answer's body holds 3 events and the terminal
    And the answer has header "content-type" of "text/event-stream"

  Scenario: A plain chat completion
    Given "side-a" answers a completion of 40 tokens
    When a caller asks for a plain completion
    Then the answer has status 200 and is whole
    And the answer's body is that of the completion
    And the order at "side-a" is a POST of "/v1/chat/completions" and repeatable
    And "side-a" received the body unchanged

  Scenario: A routing decision is one line with its fields
    Given "side-a" answers a completion of 40 tokens
    When a caller asks for a plain completion
    Then the decision "dispatch" is logged with
      | prefix | level | workspace | pool    | backend_server | reason    |
      | entry  | INFO  | pilot     | ice-llm | side-a-server  | free slot |
    And the line names the request and the attempt that the side received

  Scenario: What a request cost is learned
    Given "side-a" answers a completion of 40 tokens
    When a caller asks for a plain completion
    And a caller asks for a plain completion
    Then the second order at "side-a" expects less than the first one

  Scenario Outline: A service is passed through unchanged
    Given "side-c" answers with status <status> and "<text>"
    When a caller sends <method> to "/services/chart-api<path>" with body "<body>"
    Then the answer has status <status> and is whole
    And the answer's body is "<text>"
    And the order at "side-c" is a <method> of "<path>"
    And "side-c" received body "<body>"

    Examples:
      | method  | path                | body | status | text   |
      | GET     | /charts?day=1&day=2 |      | 200    | chart  |
      | PUT     | /a%2Fb/..//c?x=%20  | new  | 201    | made   |
      | DELETE  | /charts/1           |      | 204    |        |
      | PATCH   | /                   | part | 409    | no     |
      | POST    | /warn               | text | 500    | failed |
      | OPTIONS | /charts             |      | 200    |        |

  Scenario: The answer to HEAD names a length and has no body
    Given "side-c" answers HEAD with length 1000
    When a caller sends HEAD to "/services/chart-api/charts" with body ""
    Then the answer has status 200 and is whole
    And the answer has header "content-length" of "1000"

  Scenario: Headers travel end to end, and those of a hop do not
    Given "side-c" answers with headers of its hop and its own
    When a caller sends headers of its hop and its own
    Then the order at "side-c" holds the caller's own headers alone
    And the answer holds the server's own headers alone

  Scenario: A large answer of a service is passed on while it comes
    Given "side-c" answers 3 pieces of 200000 bytes
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the answer has status 200 and is whole
    And the answer's body has 600000 bytes

  Scenario Outline: A stream that is cut never looks complete
    The engine dies in the middle of a stream. The caller has part of it and
    gets an error event, but neither the protocol's terminal nor the framing's.
    Given "side-a" <how>
    When a caller asks for a streamed completion
    Then the answer is cut after 2 events and one error "answer_cut"
    And the side was asked about the attempt
    And "side-a" has received 1 order

    Examples:
      | how                                          |
      | streams 2 events and breaks                  |
      | streams 2 events and ends without a terminal |
      | streams 2 events, half of one, and breaks    |

  Scenario: A stream that flows outlives the link of its side
    The control link breaks for good while events still come. The answer is
    not given up for that, and the caller gets the whole of it.
    Given "side-a" streams 8 events slowly and the terminal
    And a caller waits for a streamed completion
    When the link of "side-a" is cut for good
    Then all waiting callers get their whole answers

  Scenario: A service's answer that is cut never looks complete
    Given "side-c" answers 2 pieces of 200000 bytes and breaks
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the answer is cut

  Scenario: A short answer that breaks is tried again unseen
    The first engine dies after half of a plain answer. None of it has gone to
    the caller, and the request may be repeated: the caller only sees the
    second engine's answer.
    Given side "side-b" of pool "ice-llm" is linked
    And whichever side is asked first breaks a plain answer
    And the next one answers a completion of 40 tokens
    And the sides answer questions with "failed"
    When a caller asks for a plain completion
    Then the answer has status 200 and is whole
    And the answer's body is that of the completion
    And the sides have received 2 orders in all

  Scenario: The order of a second attempt tells that the first one crashed
    Guards against innocent callers who are refused for minutes: the side must
    know which requests were running at a crash, to keep them apart.
    Given side "side-b" of pool "ice-llm" is linked
    And whichever side is asked first breaks a plain answer
    And the next one answers a completion of 40 tokens
    And the sides answer questions with "failed"
    When a caller asks for a plain completion
    Then the answer has status 200 and is whole
    And the second order tells that it is suspected, the first did not

  Scenario: A call that may not be repeated is not tried again
    Given "side-c" breaks a plain answer
    And the sides answer questions with "failed"
    When a caller sends POST to "/services/chart-api/warn" with body "ice"
    Then the error is 502 "server_failed" and may have run
    And "side-c" has received 1 order

  Scenario: A caller that vanishes stops its request
    Given "side-a" holds its answer
    When a caller asks for a streamed completion and vanishes while it runs
    Then "side-a" sees its connection broken off
    And no request is open
    And the attempt was settled as "abandoned"

  Scenario: A caller that vanishes while it waits is forgotten
    Given all sides are busy
    When a caller asks for a streamed completion and vanishes while it waits
    Then no request is open
    And no side has received an order

  Scenario: A caller that does not read is dropped
    The caller asks for a large answer and reads nothing. It is cut off after
    the bound, so that the server's slot is free again.
    Given "side-c" answers 400 pieces of 100000 bytes
    When a caller asks "/services/chart-api/charts" and reads nothing
    Then no request is open

  Scenario: Two requests on one connection get their answers in order
    Given "side-c" answers with status 200 and "chart"
    And "side-a" answers a completion of 40 tokens
    When a caller pipelines a completion and a service call
    Then the answers are that of the completion and "chart"
