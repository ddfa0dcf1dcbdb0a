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
