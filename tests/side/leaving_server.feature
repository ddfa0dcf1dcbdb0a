Feature: A backend server leaves

  A server that leaves says Server-Leaving: 1 in all its responses. Its side
  starts nothing more there until the server has restarted.

  Background:
    Given a side with 2 slots that admits requests itself
    And an entry linked to the side

  Scenario: A server that leaves gets no more requests
    The entry is told as in a drain of the side, which does not end.
    When a run request for "/gated" has returned its first chunk
    And the backend server begins to leave
    And run request "a2" for "/echo" is sent
    Then the response has fate running and status 201
    And the entry receives a load of a draining side
    When run request "a3" for "/echo" is sent
    Then the run request is refused with status 409 for "draining"
    And operators see that it is unready
    And the backend server's last chunk follows once it is sent
    And the backend server has run 2 requests
    When an operator reads /metrics
    Then the text contains "sardinetrack_side_server_leaving 1.0"

  Scenario Outline: A response that does not say so changes nothing
    When the backend server sends Server-Leaving "<text>"
    And run request "a2" for "/echo" is sent
    And run request "a3" for "/echo" is sent
    Then the response has fate running and status 201

    Examples:
      | text  |
      | 0     |
      | false |
      | 10    |

  Scenario: A request with a grant from before is not sent
    When run request "a0" for "/gated_rest?status=200" is running
    And the entry bids for workspace "pilots"
    Then the entry receives grant 1
    When the backend server begins to leave
    And the gate of the backend server opens
    And run request "a0" has ended
    And a run request with grant 1 is sent
    Then the run request is refused with status 409 for "draining"
    And the backend server has run 1 request

  Scenario: A plain service is used again once it has restarted
    It has no query that is safe to call. Its port refuses connections between
    the two processes.
    When the backend server begins to leave
    And run request "a2" for "/echo" is sent
    Then the entry receives a load of a draining side
    And the side still drains after 0.7 seconds
    When the backend server restarts
    Then the entry receives a load of a serving side with 2 slots
    When run request "a4" for "/echo" is sent
    Then the response has fate running and status 201
    And the side has logged "backend server is leaving" once with
      | backend_server | attempt_id |
      | galata-3       | a2         |
    And the side has logged "backend server has restarted" once with
      | backend_server |
      | galata-3       |

  Scenario: A model engine that leaves says so in its load report
    Its next process does not: that is how the side recognises the restart.
    Given a side of a model pool that admits requests itself
    And an entry linked to the side
    When the backend server begins to leave
    Then the entry receives a load of a draining side
    And the side still drains after 0.7 seconds
    And a load command is not accepted
    When the backend server no longer leaves
    Then the entry receives a load of a serving side with 2 slots
    And a load command is accepted
    And the side has logged "backend server is leaving" once with
      | backend_server | attempt_id |
      | galata-3       |            |

  Scenario: A rest ends while the server leaves
    When the backend server begins to leave
    And a run request for "/rest?status=503&after=0.2" with body "" is sent
    Then the entry receives a load with limit 0
    And the entry receives a load with limit 2 when the rest ends
    And the side still drains after 0 seconds

  Scenario: A restarted server does not end the drain of its side
    When the backend server begins to leave
    And run request "a2" for "/echo" is sent
    Then the entry receives a load of a draining side
    When run request "a3" for "/echo" is refused
    And the side's own drain begins
    And the backend server restarts
    Then the side still drains after 0.7 seconds
