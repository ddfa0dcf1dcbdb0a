Feature: Run requests run at the backend server

  Background:
    Given a side with 2 slots and its configuration

  Scenario: The backend server's response passes through unchanged
    When a run request for "/echo?port=varna" with body "storm warning" is sent
    Then the response has fate running and status 201
    And the response's body is "storm warning"
    And the response's headers are those of the backend server
    And the backend server has run "/echo?port=varna" once

  Scenario Outline: Responses without a body keep their status and length
    When a run request for "<path>" with method <method> is sent
    Then the response has fate running and status <status>
    And the response's body is ""
    And the response states the length "<length>"

    Examples:
      | method | path   | status | length |
      | POST   | /empty | 204    | none   |
      | HEAD   | /head  | 200    | 4711   |

  Scenario: Chunks of a response pass on as they arrive
    When a run request for "/gated" has returned its first chunk
    Then the backend server's last chunk follows once it is sent

  Scenario: A response with another attempt's id is not passed on
    The backend server stutters: it responds to an earlier request a second
    time. This caller would get the earlier caller's response. The request may
    still run, so its outcome is unknown, and it gets no strike.
    When a run request for "/other" with body "of another caller" is sent
    Then the response has fate stopped and status 0
    And the response's body is ""
    And attempt "a1" has fate stopped

  Scenario: A response with the attempt's own id is passed on
    When a run request for "/identified" with body "own" is sent
    Then the response has fate running and status 200
    And the response's body is "own"

  Scenario: A stream truncated by the backend server never looks complete
    The backend server closes the connection in the middle of its response. The
    entry has received the status and half of the body by then. The side breaks
    its own response too: after an orderly end the caller would take half a
    bulletin for a complete one.
    When a run request for "/cut" with body "" is sent
    Then the response has fate running and status 200
    And the response's body is truncated
    And attempt "a1" has fate failed

  Scenario: An entry that disconnects frees its slot
    The caller disconnects while its response streams, and the entry closes the
    connection. The side cancels the request at the backend server, frees the
    slot, and still returns the status of the attempt.
    When a run request for "/gated" has returned its first chunk
    And the entry closes the connection
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: The admission object receives whether a request is suspect
    Guards against innocent callers who are refused for minutes: two requests
    that had been running at a crash met on the next server, which crashed.
    When a suspect run request for "/echo" is sent
    Then the admission object has received it as suspect

  Scenario: A status query with cancel stops a running attempt
    The entry has lost track of the attempt and sends a status query. The side
    returns that it runs, and stops it; the response to the run request breaks.
    When a run request for "/gated" has returned its first chunk
    And an entry queries and cancels attempt "a1"
    Then the returned fate is running
    And the backend server sees the request cancelled
    And the rest of the response is truncated
    And attempt "a1" has fate stopped

  Scenario: Many status queries with cancel stop it once
    Several queries arrive before the request's own task is scheduled. They
    must not disturb the task that owns the slots.
    When a run request for "/gated" has returned its first chunk
    And 20 entries query and cancel attempt "a1" concurrently
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: An entry that stops reading occupies a slot for a bounded time
    The entry is frozen: its connection stays open, and it reads nothing more.
    The buffers on the way fill up; the side gives the entry a bounded time,
    cancels the request and frees the slot.
    When a run request for "/flood" is sent and its response is not read
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: A status query before the late run request prevents its start
    The run request is delayed on its way. The entry sends a status query,
    receives "not started" and reports "not run" to its caller. When the run
    request arrives after all, it must not run.
    When an entry queries attempt "a1"
    Then the returned fate is not_started
    When a run request for "/echo" with body "late" is sent
    Then the run request is refused with status 409 for "tombstoned"
    And the backend server has run nothing

  Scenario: A run request for another incarnation is refused
    The side was restarted; the entry sends a run request that it decided on by
    what the earlier process had reported.
    When a run request for incarnation "side-1-first" is sent
    Then the run request is refused with status 409 for "other_incarnation"
    And the backend server has run nothing

  Scenario: "Not started" is never returned about another incarnation
    The run request was sent to an earlier process, which has ended. The
    current one can't know whether the request ran.
    When an entry queries process "side-1-first" about attempt "a1"
    Then the returned fate is unknown

  Scenario: A second run request of the same attempt does not run
    The entry's run request reaches the side twice. The second is refused, and
    not with "not started", because the first one runs.
    When a run request for "/gated" has returned its first chunk
    And a run request for "/echo" with body "again" is sent
    Then the run request is refused with status 409 for "duplicate"
    And the refusal's fate is unknown
    And the backend server has run "/gated" once

  Scenario: A side without a free slot refuses
    When 2 run requests for "/gated" are running
    And a run request for "/echo" with body "one more" is sent
    Then the run request is refused with status 409 for "busy"

  Scenario: A body over the pool's limit is refused unread
    When a run request for "/echo" with a body of 2000 bytes is sent
    Then the run request is refused with status 413 for "body_too_large"
    And the backend server has run nothing

  Scenario: A request whose body is truncated does not run
    The entry crashes while it sends the body. Half a request must not run.
    When an entry sends half of a body and disconnects
    And an entry queries attempt "a1"
    Then the returned fate is not_started
    And the backend server has run nothing

  Scenario Outline: An invalid run request is refused
    When a run request with header <header> is sent
    Then the run request is refused with status 400 for "bad_order"
    And the backend server has run nothing

    Examples:
      | header          |
      | none            |
      | no JSON         |
      | a path elsewhere |

  Scenario: A request that runs too long is cancelled
    Given the pool allows 0.2 seconds of run time
    When a run request for "/gated" with body "" is sent
    Then the response's body is truncated
    And the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: An unreachable backend server is offered no requests
    The backend server's process crashes. The next run request finds no
    connection and is refused as not started. A side that still offered its
    free slots would refuse faster than others respond and attract all the
    load, so it offers none until the server can be reached again.
    When the backend server stops
    And a run request for "/echo" with body "hello" is sent
    Then the run request is refused with status 409 for "no_server"
    And the side offers 0 slots
    When the backend server starts again
    Then the side offers 2 slots
