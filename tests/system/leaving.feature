Feature: a backend server that drains gets no new requests, and no response is truncated

  Scenario: the platform lists a side as leaving
    The platform's list, which lags, reports a side as leaving. After a few
    seconds new requests go to the other side; the running ones run to their
    end.
    Given a fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And the platform lists the side of engine-0 as leaving
    Then engine-0 gets no new requests after 4 s
    And the long streams are complete
    And no slot of engine-1 is lost

  Scenario: a side drains under load
    The side refuses new run requests, which go to another side, and exits when
    the running ones, plain and streamed, are complete. No caller notices.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And the side of engine-0 receives SIGTERM
    Then the process exits with code 0
    And engine-0 gets no new requests after 4 s
    And all callers have complete responses
    And no slot of engine-1 is lost

  Scenario: an entry is asked to end under load
    The entry responds "not run" or refuses connections while it drains, as the
    balancer expects, and completes the requests that it has accepted. Callers
    move to the other entry.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And 4 long streams run through entry-a
    And entry-a receives SIGTERM
    Then the process exits with code 0
    And the long streams are complete
    And all callers have complete responses
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a second signal stops a process immediately
    Long streams run when the first signal arrives; the operator can't wait and
    sends another. The callers see broken streams, the other entry keeps
    running.
    Given a fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And entry-a receives SIGTERM twice
    Then the process exits before its streams are complete
    And no truncated stream looks complete
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a request that arrives while an entry drains gets "not run"
    The request arrives after the first signal and before a second one. The
    entry doesn't accept it; no engine may ever start it.
    Given a fleet with 2 engines and 0 services
    When a long stream runs at each engine
    And entry-a receives SIGTERM
    And another caller sends a request to entry-a 0.4 s later
    Then this caller gets not_run_draining, and no engine has started its request
    And the long streams are complete

  Scenario: a side crashes
    The side's process is killed. The requests that it ran end in a clear error
    or were tried again; new requests go to the other engine.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And the side of engine-0 is killed
    Then engine-0 gets no new requests after 4 s
    And each response is consistent with the executions
    And no slot of engine-1 is lost

  Scenario: an engine crashes
    The engine's process is killed. Its side can't connect and offers no slots,
    so that it doesn't attract requests by rejecting them quickly.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And engine-0 is killed
    Then the side of engine-0 starts no new requests after 4 s
    And each response is consistent with the executions
    And no slot of engine-1 is lost
