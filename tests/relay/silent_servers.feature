Feature: Servers that fall silent for a moment

  A sound server may send nothing for a second or two and then go on. The routes
  take 1.2 seconds for silence in a stream that has begun, and 3 before its first
  event.

  Scenario Outline: A stream that can't go on elsewhere outlasts a silence: <why>
    Guards against a response that is truncated although its server goes on with
    it, because the entry had left the server before it knew of another one.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 1.9 seconds before event 4
    When <why>
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got <requests> requests
    And the line on the silent server says <outcome>

    Examples:
      | why                                               | requests | outcome     |
      | a stream may be sent to one server                | 1        | not_allowed |
      | the retry budget is used up                       | 1        | not_allowed |
      | the other server has no free slot                 | 1        | not_placed  |
      | the other server rests                            | 1        | not_placed  |
      | the other server accepts no connection            | 1        | not_placed  |
      | the other server is sent it and turns it away     | 2        | not_placed  |
      | the other server is sent it and fails it          | 2        | not_placed  |
      | the other server is sent it and disconnects       | 2        | not_placed  |
      | the other server is sent it and is silent too     | 2        | went_on     |
      | the other server has other software               | 1        | not_placed  |
      | the events have no numbers                        | 1        | not_allowed |
      | the route is removed in the silence               | 1        | not_placed  |
      | the key is revoked in the silence                 | 1        | not_placed  |
      | the route leads elsewhere after the silence began | 1        | not_placed  |

  Scenario: A stream outlasts the silence of one server after the other
    Guards against a stream that has left a sound server for one that then falls
    silent too, and is truncated because it may be sent to no third one.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    When the servers pause for 1.5 seconds before event 4
    And the servers pause for 1.5 seconds before event 5
    And a caller requests a resumable stream
    Then the caller receives all events once and the end

  Scenario: The response to a request outlasts a silence before its first event
    Guards against a failure that a caller is told of before its server responds.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 3.7 seconds before event 1
    When a stream may be sent to one server
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got 1 request

  Scenario: A stream goes on elsewhere if its server stays silent
    Guards against callers that wait for a server that is unreachable.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 6 seconds before event 4
    When a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got 2 requests
    And the caller had it all within 2 seconds
    And the line on the silent server says taken_over
    And nothing is held for the stream any more

  Scenario: A server that goes on first keeps its stream
    The other server has got the request but has not accepted it. Guards against
    two servers that write one response, and a permit that nobody releases.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 1.6 seconds before event 4
    When the other server is sent it and is silent too
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the other server sees its connection close
    And nothing is held for the stream any more

  Scenario: A retry that can't be sent stays in the retry budget
    Guards against retries that are used up for streams of sound servers, so that
    streams of other servers lack them.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 1.9 seconds before event 4
    When the other server has no free slot
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the retry budget is full

  Scenario: A failure of another server doesn't replace a response still to come
    Guards against a response that is given up for that of a server that has not
    accepted the request.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 3.7 seconds before event 1
    When the other server is sent it and finds nothing
    And a caller requests a resumable stream
    Then the caller receives all events once and the end

  Scenario: A request whose server stays silent ends at its deadline
    Another server has failed it. Guards against a permit, a connection to a
    server or to the caller that outlasts the request.

    Given a relay in front of 2 model servers
    And a time-out of 4 seconds
    And its server pauses for 60 seconds before event 1
    When the other server is sent it and finds nothing
    And a caller requests a resumable stream until its connection ends
    Then the caller gets status 504
    And nothing is held for the stream any more

  Scenario: A stream goes on at a third server if two are silent
    Guards against a stream that waits for its deadline beside a free server.

    Given a relay in front of 3 model servers
    And a time-out of 10 seconds
    And a stream may be sent to 3 servers
    And its server pauses for 60 seconds before event 4
    When the next server that is sent it is silent too
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got 3 requests

  Scenario Outline: A stream goes on at a third server if the next one <act>
    Guards against a pause for a server that is known not to run the stream, beside
    a free one.

    Given a relay in front of 3 model servers
    And a time-out of 10 seconds
    And a stream may be sent to 3 servers
    And its server pauses for 60 seconds before event 4
    When the next server that is sent it <act>
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the caller had it all within 2 seconds

    Examples:
      | act           |
      | turns it away |
      | fails it      |
      | disconnects   |

  Scenario: A caller leaves while another server is asked to take over
    Guards against exceptions in callbacks, which no line reports.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 60 seconds before event 4
    When the other server is sent it and is silent too
    And a caller leaves while the other server has the stream too
    Then nothing is held for the stream any more
    And no exception is left over

  Scenario: The server of a stream that moves after a silence is watched
    Guards against a stream whose server is no longer watched for silence, leaving
    or restarts since the entry watches an attempt that has ended.

    Given a relay in front of 3 engines whose streams move
    When a stream moves that another server has turned away in a silence
    Then the server that it moved to is watched

  Scenario: A server that accepts a stream and ends doesn't end its response
    Guards against a response that is truncated although its silent server goes on,
    because another one had sent the head of a response and nothing else.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And its server pauses for 1.9 seconds before event 4
    When the other server is sent it and accepts it and ends
    And a caller requests a resumable stream
    Then the caller receives all events once and the end

  Scenario: A stream outlasts a late record of its server's restart
    The list says that the server has restarted, after the stream was sent to the
    later start. Guards against a response that is truncated although it is not the
    former start that sends it.

    Given a relay in front of 1 model server
    And every server is listed with start 900 and revision 20
    And its server pauses for 0.8 seconds before event 4
    When a stream may be sent to one server
    And every server is listed with start 950 and revision 30 a moment later
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got 1 request
