Feature: Every request at the border ends in a clear answer

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry
    And "side-a" answers plainly
    And "side-c" answers plainly

  Scenario Outline: A request that is refused has its row of the table
    The caller sees a status, a stable code and whether it ran; it surely did
    not, so no side has heard of it.
    When a caller presents <request>
    Then the error is <status> "<code>" and did not run
    And no side has received an order

    Examples:
      | request                          | status | code                 |
      | no token                         | 401    | unauthenticated      |
      | an unknown token                 | 401    | unauthenticated      |
      | an unknown path                  | 404    | unknown_path         |
      | GET for completions              | 405    | method_not_allowed   |
      | POST for models                  | 405    | method_not_allowed   |
      | an unknown model                 | 404    | unknown_model        |
      | an unknown service               | 404    | unknown_service      |
      | a model pool as a service        | 404    | unknown_service      |
      | bad JSON                         | 400    | bad_request          |
      | no messages                      | 400    | bad_request          |
      | empty messages                   | 400    | bad_request          |
      | messages of a wrong type         | 400    | bad_request          |
      | max_tokens of zero               | 400    | bad_request          |
      | an empty idempotency key         | 400    | bad_request          |
      | an endless idempotency key       | 400    | bad_request          |
      | a body that tells its large size | 413    | body_too_large       |
      | a large body in chunks           | 413    | body_too_large       |
      | a body too large for the pool    | 413    | body_too_large       |
      | a body that stops half-way       | 408    | body_timeout         |
      | a head that stops half-way       | 408    | body_timeout         |
      | a head with one large header     | 431    | headers_too_large    |
      | a head with many headers         | 431    | headers_too_large    |
      | a head that never ends           | 431    | headers_too_large    |
      | a broken request line            | 400    | bad_request          |
      | an ancient request               | 400    | bad_request          |
      | an upgrade to another protocol   | 400    | bad_request          |
      | a length and a coding            | 400    | bad_request          |
      | two different lengths            | 400    | bad_request          |
      | a coding that is not chunked     | 400    | bad_request          |
      | two tokens                       | 400    | bad_request          |
      | a broken chunk                   | 400    | bad_request          |

  Scenario: An entry without a configuration calls no token unknown
    An entry starts while the platform is down and no other entry is linked.
    It knows no token yet: the caller's may well be good, so the caller is
    told to come back instead of being turned away for good.
    Given an entry "entry-b" that starts while the platform is down
    When "entry-b" is asked for "/v1/models"
    Then the error is 503 "not_run_no_server" and did not run
    And the answer tells when to come back

  Scenario Outline: A request that could be framed in two ways ends its connection
    A balancer in front might take the rest of the body for the next caller's
    request. After the refusal nothing on the connection is read any more.
    When a caller pipelines <request> and another request
    Then the error is 400 "bad_request" and did not run
    And the connection is closed without another answer
    And no side has received an order

    Examples:
      | request                      |
      | a length and a coding        |
      | two different lengths        |
      | a coding that is not chunked |

  Scenario: A trailer is no header
    A caller puts a header behind the chunks of its body, where no check of
    the head has seen it. It must not reach the backend server.
    When a caller presents a body in chunks with a trailer
    Then the answer has status 200 and is whole
    And the order at "side-c" has no header "x-late"

  Scenario: The caller's own id is echoed
    When a caller calls with request id "varna-17"
    Then the answer has status 200 and is whole
    And the answer has header "x-request-id" of "varna-17"
    When a caller without a token calls with request id "varna-18"
    Then the answer has header "x-request-id" of "varna-18"

  Scenario Outline: An unsafe id is replaced
    When a caller calls with request id "<id>"
    Then the answer has status 200 and is whole
    And the answer has another request id

    Examples:
      | id            |
      | a b           |
      | reason=forged |

  Scenario: The models are listed
    When a caller gets "/v1/models"
    Then the answer lists model "ice-1" of "Varna"
    When a caller gets "/v1/models/ice-1"
    Then the answer describes model "ice-1"
    When a caller gets "/v1/models/none"
    Then the error is 404 "unknown_model" and did not run

  Scenario: A body without an end costs a connection only for a while
    The caller is refused by its first bytes and sends on for ever. It gets
    its answer, and the connection is cut soon after.
    When a caller without a token sends a body without an end
    Then the error is 401 "unauthenticated" and did not run
    And the connection is closed without another answer

  Scenario: Idle connections give way
    Somebody opens more connections than the entry holds and sends nothing.
    The oldest ones are cut, and a caller that comes then is served.
    Given 30 idle connections
    When a caller gets "/v1/models"
    Then the answer has status 200 and is whole
    And the oldest idle connection is closed

  Scenario: Connections in use do not give way
    Given "side-c" holds its answers
    And 20 connections that wait for an answer
    When a caller gets "/v1/models"
    Then the error is 503 "too_many_connections" and did not run
    When "side-c" answers what it holds
    Then all waiting connections get their whole answers

  Scenario: A connection that falls silent after an answer is closed
    When a caller gets "/v1/models"
    Then the connection is closed without another answer

  Scenario: No token is ever logged
    When a caller calls with request id "varna-17"
    And a caller presents an unknown token
    And a caller presents bad JSON
    And a caller presents two tokens
    Then no log line holds a token

  Scenario: Whatever bytes arrive, the border answers or closes
    Hypothesis mutates heads and bodies. Each answer is one of the table, the
    program meets no fault, and an ordinary caller is served afterwards.
    When hypothesis sends mutated requests
    Then every answer was a row of the table and nothing failed inside
    When a caller gets "/v1/models"
    Then the answer has status 200 and is whole
