Feature: a request is served from end to end by separate processes

  Scenario: both entries serve every kind of call
    Given a fleet with two engines, one service and two entries
    When callers send a plain completion through each entry
    Then each caller gets exactly its own whole answer
    When callers stream a completion through each entry
    Then each caller gets exactly its own whole stream
    When callers use the service through each entry
    Then the service's answers come through unchanged

  Scenario: an edit of the catalogue is in force at both entries within 4 s
    An operator adds a workspace and later takes its token away while the
    fleet runs. Callers with the token are let in, then refused, at every
    entry; nothing is restarted.
    Given a fleet with two engines, one service and two entries
    When an operator adds a workspace with a new token
    Then both entries accept the token within 4 s
    When an operator takes the token away
    Then both entries refuse the token within 4 s
