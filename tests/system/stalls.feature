Feature: a process that stalls for seconds and goes on cuts no answer

  Scenario Outline: streams outlive a process that is not scheduled
    Guards against callers whose streams are given up while their engine still
    runs them: the control link of a stalled process is silent for too long.
    Given a failing fleet with 2 engines and 0 services
    When 4 long streams run through entry-a
    And <process> for 6 s
    Then the long streams are whole
    And no slot is lost, and a small workspace is served beside a flood

    Examples:
      | process         |
      | all sides stall |
      | entry-a stalls  |

  Scenario: a stream whose side does not come back is cut in bounded time
    Given a failing fleet with 2 engines and 0 services
    When 4 long streams run through entry-a
    And all sides are frozen for good
    Then each long stream is cut within 25 s
