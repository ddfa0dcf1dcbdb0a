Feature: a process that stalls for seconds and resumes truncates no response

  Scenario Outline: streams outlive a process that is not scheduled
    Guards against streams that are given up while their engine still runs them,
    because the control link of a stalled process is silent for too long.
    Given a fleet with 2 engines and 0 services
    When 4 long streams run through entry-a
    And <process> for 6 s
    Then the long streams are complete
    And no slot is lost, and a small workspace is served during a flood

    Examples:
      | process         |
      | all sides stall |
      | entry-a stalls  |

  Scenario: a stream whose side does not come back ends within a limited time
    Given a fleet with 2 engines and 0 services
    When 4 long streams run through entry-a
    And all sides are suspended permanently
    Then each long stream is truncated within 25 s
