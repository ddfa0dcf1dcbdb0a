Feature: Orders run at the backend server

  Background:
    Given a side with 2 slots and its configuration

  Scenario: The backend server's answer passes through unchanged
    When an order for "/echo?port=varna" brings "storm warning"
    Then the answer has fate running and status 201
    And the answer's body is "storm warning"
    And the answer's headers are those of the backend server
    And the backend server has run "/echo?port=varna" once

  Scenario Outline: Answers without a body keep their status and length
    When an order with method <method> for "<path>" comes
    Then the answer has fate running and status <status>
    And the answer's body is ""
    And the answer names the length "<length>"

    Examples:
      | method | path   | status | length |
      | POST   | /empty | 204    | none   |
      | HEAD   | /head  | 200    | 4711   |

  Scenario: Pieces of an answer pass on as they come
    When an order for "/gated" has brought its first piece
    Then the backend server's last piece follows once it comes

  Scenario: A stream that breaks at the backend server never looks complete
    The backend server breaks off in the middle of its answer. The entry has
    the status and half of the body by then. The side breaks its own answer
    too: an orderly end would let the caller take half a bulletin for a whole.
    When an order for "/cut" brings ""
    Then the answer has fate running and status 200
    And the answer's body is broken
    And attempt "a1" has fate failed

  Scenario: An entry that vanishes costs no slot
    The caller goes away while its answer streams, and the entry drops the
    connection. The side cancels the request at the backend server, frees the
    slot, and still tells what became of the attempt.
    When an order for "/gated" has brought its first piece
    And the entry drops the connection
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: The decisions learn which order was running at a crash
    Guards against innocent callers who are refused for minutes: two requests
    that had been running at a crash met on the next server, which crashed.
    When a suspected order for "/echo" comes
    Then the decisions know the order as suspected

  Scenario: A question with cancel stops a running attempt
    The entry has lost sight of the attempt and asks. The side says that it
    runs and stops it; the answer to the order breaks.
    When an order for "/gated" has brought its first piece
    And an entry asks and cancels attempt "a1"
    Then the fate told is running
    And the backend server sees the request cancelled
    And the rest of the answer is broken
    And attempt "a1" has fate stopped

  Scenario: Many questions with cancel stop it once
    Several questions arrive before the request's own task gets a turn. They
    must not disturb the task that owns the slots.
    When an order for "/gated" has brought its first piece
    And 20 entries ask and cancel attempt "a1" at once
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: An entry that stops reading costs no slot for long
    The entry is frozen: its connection stays open, and it reads nothing more.
    The buffers on the way fill up; the side gives the entry a bounded time,
    cancels the request and frees the slot.
    When an order for "/flood" runs and nobody reads the answer
    Then the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: A question before the late order keeps it from ever running
    The order is delayed on its way. The entry asks, hears "not started" and
    tells its caller "not run". When the order arrives after all, it must not
    run.
    When an entry asks about attempt "a1"
    Then the fate told is not_started
    When an order for "/echo" brings "late"
    Then the order is refused with status 409 for "tombstoned"
    And the backend server has run nothing

  Scenario: An order for another incarnation is refused
    The side was restarted; the entry sends an order that it decided on what
    the process before had told.
    When an order for incarnation "side-1-first" comes
    Then the order is refused with status 409 for "other_incarnation"
    And the backend server has run nothing

  Scenario: Nobody is told "not started" about another incarnation
    The order went to the process before this one, which is gone. This one
    can't know whether the request ran.
    When an entry asks process "side-1-first" about attempt "a1"
    Then the fate told is unknown

  Scenario: A second order of the same attempt does not run
    The entry's order reaches the side twice. The second is refused, and not
    with "not started", because the first one runs.
    When an order for "/gated" has brought its first piece
    And an order for "/echo" brings "again"
    Then the order is refused with status 409 for "duplicate"
    And the refusal's fate is unknown
    And the backend server has run "/gated" once

  Scenario: A side without a free slot refuses
    When 2 orders for "/gated" run
    And an order for "/echo" brings "one more"
    Then the order is refused with status 409 for "busy"

  Scenario: A body over the pool's bound is refused unseen
    When an order for "/echo" brings 2000 bytes
    Then the order is refused with status 413 for "body_too_large"
    And the backend server has run nothing

  Scenario: A body that breaks off on its way does not run
    The entry dies while it sends the body. Half a request must not run.
    When an entry sends half of a body and vanishes
    And an entry asks about attempt "a1"
    Then the fate told is not_started
    And the backend server has run nothing

  Scenario Outline: An order that can't be read is refused
    When an order with header <header> comes
    Then the order is refused with status 400 for "bad_order"
    And the backend server has run nothing

    Examples:
      | header          |
      | none            |
      | no JSON         |
      | a path elsewhere |

  Scenario: A request that runs too long is cancelled
    Given the pool allows 0.2 seconds of run time
    When an order for "/gated" brings ""
    Then the answer's body is broken
    And the backend server sees the request cancelled
    And attempt "a1" has fate stopped

  Scenario: A backend server that is gone takes no work
    The backend server's process dies. The next order finds no connection and
    is refused as not started. A side that went on offering its free slots
    would refuse faster than others answer and attract all the work, so it
    offers none until the server can be reached again.
    When the backend server goes away
    And an order for "/echo" brings "hello"
    Then the order is refused with status 409 for "no_server"
    And the side offers 0 slots
    When the backend server comes back
    Then the side offers 2 slots
