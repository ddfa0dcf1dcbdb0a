Feature: Fencing numbers at the stand-ins

  Scenario: A checking engine refuses an older holder
    A holder with number 5 gives an order, then the paused holder with
    number 4 wakes and gives its own. The engine refuses the old one, both
    as an order and as a request.
    Given a model engine
    When an order with number 5 has status 200
    Then an order with number 4 has status 409
    And a request with number 4 has status 409
    And a request with number 5 has status 200
    And the accepted orders have the numbers 5

  Scenario: An engine that ignores the number runs both
    Given a model engine that ignores fencing numbers
    When an order with number 5 has status 200
    Then an order with number 4 has status 200
    And a request with number 4 has status 200
    And the accepted orders have the numbers 5, 4
