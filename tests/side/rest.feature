Feature: A backend server asks for rest

  A server that turns a request away with 503 or 429 and Retry-After wants no
  requests for so many seconds. Entries use other servers meanwhile.

  Background:
    Given a side with 2 slots that admits requests itself
    And an entry linked to the side

  Scenario Outline: A server at rest gets no requests until its rest ends
    The response itself reaches the caller unchanged. The entry is told at once
    that there are no slots, and again when the rest has ended.
    When a run request for "/rest?status=<status>&after=0.6" with body "" is sent
    Then the response has fate running and status <status>
    And the response's header "retry-after" is "0.6"
    And the entry receives a load with limit 0
    When another run request for "/echo" with body "hello" is sent
    Then the run request is refused with status 409 for "resting"
    And operators see that it is unready
    And the entry receives a load with limit 2 when the rest ends
    When run request "a3" for "/echo" is sent
    Then the response has fate running and status 201
    And the backend server has run 2 requests
    And the side has logged "backend server asks for rest" once with
      | backend_server | seconds | attempt_id |
      | galata-3       | 0.6     | a1         |
    And the side has logged "rest of the backend server has ended" once with
      | backend_server |
      | galata-3       |
    When an operator reads /metrics
    Then the text contains "sardinetrack_side_server_rests_total 1.0"
    And the text contains "sardinetrack_side_server_resting 0.0"

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario Outline: A response that does not ask for rest changes nothing
    When a run request for "/rest?status=<status><after>" with body "" is sent
    Then the response has fate running and status <status>
    When another run request for "/echo" with body "hello" is sent
    Then the response has fate running and status 201

    Examples:
      | status | after                                         |
      | 503    |                                               |
      | 503    | &after=0                                      |
      | 503    | &after=-3                                     |
      | 503    | &after=nan                                    |
      | 503    | &after=inf                                    |
      | 503    | &after=-inf                                   |
      | 503    | &after=1e999                                  |
      | 503    | &after=1_0                                    |
      | 503    | &after=soon                                   |
      | 503    | &after=Thu,%2003%20Dec%202126%2016:00:00%20GMT |
      | 500    | &after=3                                      |
      | 200    | &after=3                                      |

  Scenario: A request with a grant from before the rest is not sent
    The entry has a grant, and its run request arrives when the rest has begun.
    It gets "not started" at once and may use another server.
    When run request "a0" for "/gated_rest?status=503&after=5" is running
    And the entry bids for workspace "pilots"
    Then the entry receives grant 1
    When the gate of the backend server opens
    And run request "a0" has ended
    And a run request with grant 1 is sent
    Then the run request is refused with status 409 for "resting"
    And the backend server has run 1 request

  Scenario: Running requests finish during a rest
    When a run request for "/gated" has returned its first chunk
    And run request "a2" for "/rest?status=503&after=30" is sent
    Then the entry receives a load with limit 0
    And the backend server's last chunk follows once it is sent

  Scenario: A shorter rest does not end a longer one
    The server answers two requests that ran at the same time. The second
    response asks for less.
    When run request "a0" for "/gated_rest?status=503&after=0.05" is running
    And a run request for "/rest?status=503&after=0.8" with body "" is sent
    Then the entry receives a load with limit 0
    When the gate of the backend server opens
    Then the entry receives a load with limit 2 when the rest ends

  Scenario: A longer rest replaces a shorter one
    When run request "a0" for "/gated_rest?status=503&after=0.9" is running
    And a run request for "/rest?status=503&after=0.3" with body "" is sent
    Then the entry receives a load with limit 0
    When the gate of the backend server opens
    Then the entry receives a load with limit 2 when the rest ends
    And the side has logged "backend server asks for rest" once with
      | backend_server | seconds |
      | galata-3       | 0.3     |

  Scenario: Bids that waited get grants when the rest ends
    When a run request for "/rest?status=503&after=0.3" with body "" is sent
    And the entry bids for workspace "pilots"
    Then the entry receives grant 1 when the rest ends
    And the entry receives a load with limit 2

  Scenario: A load query is answered with a request for rest
    Given a side of a model pool that admits requests itself
    And an entry linked to the side
    When the next load query is answered with Retry-After "0.5"
    Then the entry receives a load with limit 0
    And the entry receives a load with limit 2 when the rest ends

  Scenario: No load command is sent during a rest
    When a run request for "/rest?status=503&after=0.5" with body "" is sent
    Then the entry receives a load with limit 0
    And a load command is not accepted
    And the backend server has run 1 request
    And the entry receives a load with limit 2 when the rest ends
    And a load command is accepted
