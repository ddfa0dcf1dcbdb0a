Feature: Age of a confirmed view

  Scenario: A view counts from when it was requested
    A response may be delayed; its content is from when it was requested. A
    view whose age counted from the arrival could be older than its bound.

    Given a bound of 5 seconds
    When the response to a request sent 4.5 seconds ago arrives
    Then keys are not accepted

  Scenario: A fresh view is accepted
    Given a bound of 5 seconds
    When the response to a request sent 1 seconds ago arrives
    Then keys are accepted

  Scenario: A delayed response does not make a newer view older
    Given a bound of 5 seconds
    When the response to a request sent 1 seconds ago arrives
    And the response to a request sent 9 seconds ago arrives
    Then keys are accepted
