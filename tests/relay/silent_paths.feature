Feature: Network paths to servers that fall silent

  Scenario Outline: A request that may run once outlasts a path silent for <seconds> seconds
    Guards against a request whose outcome is reported as unknown while its
    server works on it, because all of two probes fell into the silence.

    Given a relay in front of 1 plain server
    And a time-out of 10 seconds
    When a report takes its server 4.3 seconds, and their path is silent for <seconds> seconds
    Then the caller gets status 200
    And the servers got 1 request

    Examples:
      | seconds |
      | 1.5     |
      | 2.1     |
      | 2.8     |

  Scenario: A path that stays silent ends the request
    Guards against callers that wait for a machine that is gone.

    Given a relay in front of 1 plain server
    And a time-out of 10 seconds
    When a report takes its server 6 seconds, and their path is silent for 6 seconds
    Then the caller gets status 502 within 5 seconds
    And the servers got 1 request
