Feature: Every caller's request gets a defined response

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry
    And "side-a" returns a JSON response
    And "side-c" returns a JSON response

  Scenario Outline: A rejected request gets its defined error response
    The caller gets a status, a stable code and whether the request ran. It
    definitely did not run, so no side has received a run request.
    When a caller submits <request>
    Then the error is <status> "<code>" and the request did not run
    And no side has received a run request

    Examples:
      | request                                 | status | code               |
      | no token                                | 401    | unauthenticated    |
      | an unknown token                        | 401    | unauthenticated    |
      | an unknown path                         | 404    | unknown_path       |
      | GET for completions                     | 405    | method_not_allowed |
      | POST for models                         | 405    | method_not_allowed |
      | an unknown model                        | 404    | unknown_model      |
      | an unknown service                      | 404    | unknown_service    |
      | a model pool as a service               | 404    | unknown_service    |
      | bad JSON                                | 400    | bad_request        |
      | no messages                             | 400    | bad_request        |
      | empty messages                          | 400    | bad_request        |
      | messages of a wrong type                | 400    | bad_request        |
      | max_tokens of zero                      | 400    | bad_request        |
      | an empty idempotency key                | 400    | bad_request        |
      | an idempotency key that is too long     | 400    | bad_request        |
      | a completion that continues a stream    | 400    | bad_request        |
      | a body that declares too large a size   | 413    | body_too_large     |
      | a chunked body that is too large        | 413    | body_too_large     |
      | a body too large for the pool           | 413    | body_too_large     |
      | a body that stops half-way              | 408    | body_timeout       |
      | a head that stops half-way              | 408    | body_timeout       |
      | a head with one large header            | 431    | headers_too_large  |
      | a head with many headers                | 431    | headers_too_large  |
      | a head that never ends                  | 431    | headers_too_large  |
      | a broken request line                   | 400    | bad_request        |
      | an HTTP/0.9 request                     | 400    | bad_request        |
      | an upgrade to another protocol          | 400    | bad_request        |
      | content-length and transfer-encoding    | 400    | bad_request        |
      | two different content-lengths           | 400    | bad_request        |
      | a transfer-encoding that is not chunked | 400    | bad_request        |
      | two tokens                              | 400    | bad_request        |
      | a broken chunk                          | 400    | bad_request        |

  Scenario: An entry without a configuration rejects no token as unknown
    An entry starts while the platform is down and no other entry is linked. It
    has no tokens yet. The caller's token may be valid, so the caller gets an
    error that may be retried instead of a permanent one.
    Given an entry "entry-b" that starts while the platform is down
    When "entry-b" receives a GET of "/v1/models"
    Then the error is 503 "not_run_no_server" and the request did not run
    And the response has a Retry-After header

  Scenario Outline: A request that could be framed in two ways ends its connection
    A load balancer in front could take the rest of the body for the next
    caller's request. After the rejection nothing more is read from the
    connection.
    When a caller pipelines <request> and another request
    Then the error is 400 "bad_request" and the request did not run
    And the connection is closed without another response
    And no side has received a run request

    Examples:
      | request                                 |
      | content-length and transfer-encoding    |
      | two different content-lengths           |
      | a transfer-encoding that is not chunked |

  Scenario: A trailer is not forwarded as a header
    A caller sends a header after the chunks of its body, where the checks of
    the request head do not apply. It must not reach the backend server.
    When a caller submits a chunked body with a trailer
    Then the response has status 200 and is complete
    And the run request at "side-c" has no header "x-late"

  Scenario: The caller's own request id is returned
    When a caller calls with request id "varna-17"
    Then the response has status 200 and is complete
    And the response has header "x-request-id" with value "varna-17"
    When a caller without a token calls with request id "varna-18"
    Then the response has header "x-request-id" with value "varna-18"

  Scenario Outline: An unsafe request id is replaced
    When a caller calls with request id "<id>"
    Then the response has status 200 and is complete
    And the response has another request id

    Examples:
      | id            |
      | a b           |
      | reason=forged |

  Scenario: The models are listed
    When a caller gets "/v1/models"
    Then the response lists model "ice-1" owned by "Varna"
    When a caller gets "/v1/models/ice-1"
    Then the response describes model "ice-1"
    When a caller gets "/v1/models/none"
    Then the error is 404 "unknown_model" and the request did not run

  Scenario: An endless body occupies a connection only for a limited time
    The caller is rejected after the first bytes of its body but keeps sending.
    It gets its response, and the connection is closed soon afterwards.
    When a caller without a token sends an endless body
    Then the error is 401 "unauthenticated" and the request did not run
    And the connection is closed without another response

  Scenario: Idle connections are closed when the listener is full
    More connections are opened than the entry accepts, and nothing is sent on
    them. The oldest ones are closed, and a caller that connects then is
    served.
    Given 30 idle connections
    When a caller gets "/v1/models"
    Then the response has status 200 and is complete
    And the oldest idle connection is closed

  Scenario: Connections in use are not closed when the listener is full
    Given "side-c" delays its responses
    And 20 connections that wait for a response
    When a caller gets "/v1/models"
    Then the error is 503 "too_many_connections" and the request did not run
    When "side-c" sends its delayed responses
    Then all waiting connections get complete responses

  Scenario: A connection that is idle after a response is closed
    When a caller gets "/v1/models"
    Then the connection is closed without another response

  Scenario: No token is ever logged
    When a caller calls with request id "varna-17"
    And a caller submits an unknown token
    And a caller submits bad JSON
    And a caller submits two tokens
    Then no log line contains a token

  Scenario: Any bytes lead to a response or a closed connection
    Hypothesis mutates heads and bodies. Each response is a defined one, no
    internal error occurs, and a valid request is served afterwards.
    When hypothesis sends mutated requests
    Then every error is a defined one and none is internal
    When a caller gets "/v1/models"
    Then the response has status 200 and is complete
