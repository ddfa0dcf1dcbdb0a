Feature: The side's record of attempts

  Scenario: An attempt evicted by newer ones is not reported as "not started"
    A side keeps few ended attempts. One that ran is evicted, and the entry
    queries its status after a broken connection. By a wrong "not started" the
    entry would run a billed lookup twice.

    Given an attempt registry that keeps 2 ended attempts
    When attempts a1, a2, a3 ran to their end
    Then the registry reports a1 as unknown

  Scenario: Once evicted records would have expired, statuses are final again
    Given an attempt registry that keeps 2 ended attempts
    When attempts a1, a2, a3 ran to their end
    And 1000 seconds pass in the registry
    Then the registry reports a9 as not_started
