Feature: a backend server that leaves gets no new work, and no request is cut

  Scenario: the platform lists a side as leaving
    The platform's list, which lags, says that a side is leaving. After a few
    seconds new work goes to the other; what runs there runs to its end.
    Given a failing fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And the platform lists the side of engine-0 as leaving
    Then engine-0 gets no new work after 4 s
    And the long streams are whole
    And no slot of engine-1 is lost

  Scenario: a side is asked to end under load
    The side refuses new orders, which go elsewhere, and ends when the running
    ones, plain and streamed, are whole. No caller sees anything.
    Given a failing fleet with 2 engines and 0 services
    When callers keep asking through both entries
    And the side of engine-0 is asked to end
    Then the process exits with code 0
    And engine-0 gets no new work after 4 s
    And all callers have whole answers
    And no slot of engine-1 is lost

  Scenario: an entry is asked to end under load
    The entry answers "not run" or refuses connections once it ends, as the
    balancer expects, and finishes what it has taken. Callers move over.
    Given a failing fleet with 2 engines and 0 services
    When callers keep asking through both entries
    And 4 long streams run through entry-a
    And entry-a is asked to end
    Then the process exits with code 0
    And the long streams are whole
    And all callers have whole answers
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a second signal ends a process at once
    Long streams run when the first signal comes; the operator can't wait and
    sends another. The callers see broken streams, the other entry goes on.
    Given a failing fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And entry-a is asked to end twice
    Then the process has ended before its streams would have
    And no stream that was cut looks complete
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a caller that comes as an entry ends is told that nothing ran
    The request arrives after the first signal and before the second one. The
    entry takes it no more; no engine may ever start it.
    Given a failing fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And entry-a is asked to end
    And one more caller asks entry-a 0.4 s later
    Then this caller is told not_run_draining, and no engine has started its request
    And the long streams are whole

  Scenario: a side is lost
    The side's process is killed. What ran there ends in a clear error or was
    tried again; new work goes to the other engine.
    Given a failing fleet with 2 engines and 0 services
    When callers keep asking through both entries
    And the side of engine-0 is killed
    Then engine-0 gets no new work after 4 s
    And each caller was told the truth
    And no slot of engine-1 is lost

  Scenario: an engine is lost
    The engine's process is killed. Its side can't connect and offers no slots,
    so that it doesn't attract the work by refusing it quickly.
    Given a failing fleet with 2 engines and 0 services
    When callers keep asking through both entries
    And engine-0 is killed
    Then the side of engine-0 starts no new work after 4 s
    And each caller was told the truth
    And no slot of engine-1 is lost
