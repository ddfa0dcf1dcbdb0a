Feature: a backend server that asks for no requests gets none

  Scenario: an engine asks for rest
    The engine turns requests away with 503 and Retry-After. Its side sends it
    none until the time is over, callers are served by the other engine, and the
    first engine is used again afterwards.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And engine-0 asks for 3 s of rest
    Then the side of engine-0 starts nothing for 2.5 s while engine-1 runs requests
    And engine-0 runs requests again within 2 s
    And at most 4 callers have a response without a completion
    And no slot is lost, and a small workspace is served during a flood

  Scenario: an engine leaves
    The engine says in each response that it leaves. Its side starts nothing
    more there, and callers are served by the other engine. A new process of the
    engine, which says nothing of the kind, is used again.
    Given a fleet with 2 engines and 0 services
    When callers keep sending requests through both entries
    And engine-0 says that it leaves
    Then the side of engine-0 starts nothing for 2.5 s while engine-1 runs requests
    When the next process of engine-0 does not leave
    Then engine-0 runs requests again within 2 s
    And all callers have complete responses
    And no slot is lost, and a small workspace is served during a flood
