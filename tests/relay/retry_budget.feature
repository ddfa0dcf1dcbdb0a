Feature: An entry's part of the fleet's retry budget

  Scenario: The slack of an entry that knew few entries shrinks with the fleet
    Just after a start an entry knows of few others. Had it kept the slack of
    that moment, a fleet that starts together would send several times the
    repeats that its servers are promised at most.

    Given a relay in front of 1 model server
    And the fleet may send 82 repeats beyond the fraction of first requests
    When an entry that knows of 1 entry opens its retry budget
    And it learns that there are 41 entries
    Then it may repeat 1 request

  # Guards against repeats beyond what the fleet may send: each signal for
  # changed settings gave an entry its whole slack again.
  Scenario: A signal for changed settings does not refill the budget
    Given a relay in front of 1 model server
    And the fleet may send 82 repeats beyond the fraction of first requests
    When an entry that knows of 41 entries opens its retry budget
    Then it may repeat 1 request
    When its settings are applied again
    Then it may repeat 0 requests

  Scenario: A changed fraction takes effect in a budget that exists
    Given a relay in front of 1 model server
    And the fleet may send 82 repeats beyond the fraction of first requests
    When an entry that knows of 41 entries opens its retry budget
    Then it may repeat 1 request
    When the fraction of first requests becomes 0.5
    And 3 requests are sent for the first time
    Then it may repeat 1 request
