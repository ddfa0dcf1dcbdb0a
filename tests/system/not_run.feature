Feature: "not run" is true, and what must not run twice runs at most once

  Each call is a POST that the service's pool doesn't call repeatable. The
  service counts what it runs by the caller's marker. At the end of each
  scenario every answer is held against the counts: "not run" means none, a
  whole answer means one, and nothing means more than one.

  Scenario: the link is cut before the hand-over
    The side can't be reached when the call comes. No byte leaves, so the
    caller is told that nothing ran and may come again.
    Given a failing service behind wires
    When the wire to the side is cut
    And a bill is posted through both entries
    Then the posts are told as not_run_no_server
    And all answers are true, also 10 s later
    When the wire to the side is restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: the link is cut while the order is on its way
    The order is held in the network when the link breaks for good. The side
    can't be asked whether the order came, so nobody knows.
    Given a failing service behind wires
    When the wire to the side freezes
    And a bill is posted through both entries
    And the wire to the side is cut
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    When the wire to the side is restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: the link is cut after the hand-over
    The service is at work when the link breaks for good. The entry can't ask:
    "not run" would be a lie.
    Given a failing service behind wires
    When a slow bill is posted through both entries and runs
    And the wire to the side is cut
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    When the wire to the side is restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: the link breaks after the hand-over and comes back at once
    The service is at work when the link breaks. The entry asks the side, which
    says that the call runs: the answer is lost, and it isn't sent again.
    Given a failing service behind wires
    When a slow bill is posted through both entries and runs
    And the wire to the side breaks for a moment
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: orders are lost on their way
    What goes to the side is dropped, while the connections stay open. The
    entries notice the silence, ask in vain, and can't know.
    Given a failing service behind wires
    When the wire to the side loses what goes to it
    And a bill is posted through both entries
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    When the wire to the side is cut and restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: answers are lost on their way
    The order arrives and runs; what comes back is dropped, the answer to the
    question as well.
    Given a failing service behind wires
    When the wire to the side loses what comes from it
    And a bill is posted through both entries
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    When the wire to the side is cut and restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: a delayed order arrives after its caller was told "not run"
    The order is stuck in the network; the entry's connection breaks, a new
    one to the side works. The side promises that the order won't start, the
    caller's deadline is over, and it is told "not run". Then the order comes.
    Given a failing service behind wires and callers that wait 1 s
    When the wire to the side freezes
    And a bill is posted through both entries
    And after 1.2 s the wire breaks towards the entries and flows again
    Then the posts are told as not_run_deadline
    When the stuck orders arrive at the side
    Then all answers are true, also 10 s later
    And the service ran none of the posts
    And no slot is lost

  Scenario: a delayed order arrives after its call was tried again
    As before, but the caller still waits: the call is sent anew, runs, and is
    answered. The first order, which comes last, must not run it again.
    Given a failing service behind wires
    When the wire to the side freezes
    And a bill is posted through both entries
    And after 0.5 s the wire breaks towards the entries and flows again
    Then the posts are told as complete
    When the stuck orders arrive at the side
    Then all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a frozen side is thawed after the answer
    The side's process is paused while an order lies in its socket. The entry
    can't tell; after the answer the side goes on and finds the order, whose
    connection is closed.
    Given a failing service behind wires
    When the side is paused
    And a bill is posted through both entries
    Then the posts are told as outcome_unknown
    When the side goes on
    Then all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a side is paused and goes on before anybody gives up
    A short pause is not a failure: both calls are served once.
    Given a failing service behind wires
    When the side is paused
    And a bill is posted through both entries
    And after 1.5 s the side goes on
    Then the posts are told as complete
    And all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a side restarts empty while calls run
    The side is killed in the middle of a call, and another process takes its
    name and address. It knows of nothing and must not say "not run".
    Given a failing service behind wires
    When a slow bill is posted through both entries and runs
    And the side is killed and started anew at its address
    Then the posts are told as outcome_unknown
    And all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: an order meant for a side arrives at its successor
    The order is stuck in the network while the side is killed and started
    anew. The caller is told that the outcome is unknown. The order comes to
    the new process, is meant for the old one, and doesn't run.
    Given a failing service behind wires
    When the wire to the side freezes
    And a bill is posted through both entries
    And the side is killed and started anew at its address
    And after 0.1 s the wire breaks towards the entries and flows again
    Then the posts are told as outcome_unknown
    When the stuck orders arrive at the side
    Then all answers are true, also 10 s later
    And the service ran none of the posts
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: the link between a side and its service breaks
    The wire behind the side is cut: before the hand-over nothing ran, after it
    the call has failed there, and the caller is told so.
    Given a failing service behind wires
    When a slow bill is posted through both entries and runs
    And the wire to the service is cut
    Then the posts are told as server_failed
    When a bill is posted through both entries
    Then all answers are true, also 10 s later
    When the wire to the service is restored
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: many calls while the links break in every way
    Callers post bills through both entries while the wire is cut, frozen,
    stranded, made to lose bytes one way, and the side paused, in turn.
    Given a failing service behind wires
    When 200 bills are posted while the wire and the side fail in turn
    Then all answers are true, also 10 s later
    And no slot is lost, and a small workspace is served beside a flood
