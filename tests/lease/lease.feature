Feature: only the holder of the lease orders a backend server

  Leases last 10 s, the margin is 2 s; times are seconds of each side's clock.

  Scenario: a holder stops before its lease can be taken
    Given side "a" acquires at 100 with a write that took 1 s
    Then "a" may order at 107.9 for 0.1 s
    And "a" may not order at 108
    And "a" is "lapsed"

  Scenario: a server that ignores fencing numbers is waited for
    A successor can't know how long ago the holder wrote its lease, only that
    it was before the successor first saw it. It waits the whole lease and the
    margin from then on, and the holder has long stopped.
    Given a server that ignores fencing numbers
    And side "a" acquires at 100 with a write that took 1 s
    When side "b" looks at 103
    Then "b" waits 12 s
    When side "b" looks at 114.9
    Then "b" waits 0.1 s
    When side "b" looks at 115
    Then "b" acquires with a greater fencing number

  Scenario: a renewal starts the wait anew
    Given a server that ignores fencing numbers
    And side "a" acquires at 100 with a write that took 0 s
    When side "b" looks at 101
    And side "a" acquires again at 109 with a write that took 0 s
    And side "b" looks at 113
    Then "b" waits 12 s

  Scenario: nobody is waited for where the server checks
    Given a server that checks fencing numbers
    And side "a" acquires at 100 with a write that took 0 s
    When side "b" looks at 101
    Then "b" acquires with a greater fencing number
    And the server refuses the number of "a"

  Scenario: a frozen holder thaws after a successor has ordered
    The holder is paused just before it sends, for longer than its lease. The
    successor waits it out and orders. The thawed holder asks its own clock
    first and sends nothing.
    Given a server that ignores fencing numbers
    And side "a" acquires at 100 with a write that took 0 s
    When side "a" is paused until 120
    And side "b" looks at 101
    And side "b" looks at 113
    Then "b" acquires with a greater fencing number
    And "a" may not order at 120

  Scenario Outline: random pauses, two sides, a server that <kind>, <runs> runs
    Each side's clock has an offset of its own. Writes lose replies; sides are
    paused before and after any step. Orders that reach the server are noted
    with their fencing number and true time.
    When two sides order a server that <kind> in <runs> seeded runs
    Then no order was accepted after one with a greater fencing number
    And orders were given by both sides and some were held back

    Examples:
      | kind                    | runs |
      | checks fencing numbers  | 300  |
      | ignores fencing numbers | 300  |
