Feature: The age of a confirmed view

  Scenario: A view counts from when it was asked for
    The answer to a question may be late; what it says holds for when it was
    asked. Counted from its arrival a view could be older than its bound.

    Given a bound of 5 seconds
    When an answer comes to a question of 4.5 seconds ago
    Then keys are not taken as valid

  Scenario: A fresh view holds
    Given a bound of 5 seconds
    When an answer comes to a question of 1 seconds ago
    Then keys are taken as valid

  Scenario: An old answer does not set a newer view back
    Given a bound of 5 seconds
    When an answer comes to a question of 1 seconds ago
    And an answer comes to a question of 9 seconds ago
    Then keys are taken as valid
