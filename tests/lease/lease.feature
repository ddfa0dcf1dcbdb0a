Feature: only the holder of the lease sends commands to a backend server

  Leases last 10 s, the margin is 2 s; times are seconds of each side's clock.

  Scenario: a holder stops before another side can acquire the lease
    Given side "a" acquires at 100 with a write that took 1 s
    Then "a" may send commands at 107.9 for 0.1 s
    And "a" may not send commands at 108
    And "a" is "lapsed"

  Scenario: a successor waits if the server ignores fencing tokens
    A successor can't know how long ago the holder wrote its lease, only that
    it was before the successor first read it. From then on it waits for the
    full duration plus the margin; the holder has stopped long before.
    Given a server that ignores fencing tokens
    And side "a" acquires at 100 with a write that took 1 s
    When side "b" reads the lease at 103
    Then "b" waits 12 s
    When side "b" reads the lease at 114.9
    Then "b" waits 0.1 s
    When side "b" reads the lease at 115
    Then "b" acquires with a greater fencing token

  Scenario: a renewal restarts the wait
    Given a server that ignores fencing tokens
    And side "a" acquires at 100 with a write that took 0 s
    When side "b" reads the lease at 101
    And side "a" acquires again at 109 with a write that took 0 s
    And side "b" reads the lease at 113
    Then "b" waits 12 s

  Scenario: a successor does not wait if the server checks fencing tokens
    Given a server that checks fencing tokens
    And side "a" acquires at 100 with a write that took 0 s
    When side "b" reads the lease at 101
    Then "b" acquires with a greater fencing token
    And the server refuses the token of "a"

  Scenario: a paused holder resumes after a successor has sent a command
    The holder is paused immediately before it sends, for longer than its
    lease. The successor waits for the lease to expire and sends a command. The
    resumed holder reads its own clock first and sends nothing.
    Given a server that ignores fencing tokens
    And side "a" acquires at 100 with a write that took 0 s
    When side "a" is paused until 120
    And side "b" reads the lease at 101
    And side "b" reads the lease at 113
    Then "b" acquires with a greater fencing token
    And "a" may not send commands at 120

  Scenario Outline: random pauses, two sides, a server that <kind>, <runs> runs
    Each side's clock has an offset of its own. Responses to writes are lost;
    sides are paused before and after any step. Commands that the server
    accepts are recorded in order, with their fencing tokens.
    When two sides send commands to a server that <kind> in <runs> seeded runs
    Then no command was accepted after one with a greater fencing token
    And both sides sent commands and some were withheld

    Examples:
      | kind                   | runs |
      | checks fencing tokens  | 300  |
      | ignores fencing tokens | 300  |
