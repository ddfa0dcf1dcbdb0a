Feature: separate processes serve requests end to end

  Scenario: both entries serve every kind of call
    Given a fleet with two engines, one service and two entries
    When callers send a plain completion through each entry
    Then each caller gets exactly its own complete response
    When callers stream a completion through each entry
    Then each caller gets exactly its own complete stream
    When callers use the service through each entry
    Then the service's responses are passed on unchanged

  Scenario: an edit of the catalogue is active at both entries within 4 s
    An operator adds a workspace and later replaces its token while the fleet
    runs. Callers with the first token are accepted, then rejected, at every
    entry; nothing is restarted.
    Given a fleet with two engines, one service and two entries
    When an operator adds a workspace with a new token
    Then both entries accept the token within 4 s
    When an operator replaces the token
    Then both entries reject the token within 4 s
