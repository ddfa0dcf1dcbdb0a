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

  Scenario Outline: requests of every kind outlast a short silence: <process>
    Guards against requests that are lost or run twice before their first byte,
    because what serves them sends nothing for a moment and then goes on.
    Given a fleet with 2 engines and 1 service
    When 24 callers send requests concurrently
    And <process> for <seconds> s
    Then each of them receives exactly its own words
    And each request has run once

    Examples:
      | process                | seconds |
      | every server stalls    | 1.2     |
      | every server stalls    | 2.5     |
      | all sides stall        | 1.2     |
      | all sides stall        | 2.5     |
      | entry-a stalls         | 2.5     |

  Scenario: a stream whose side does not come back ends within a limited time
    Given a fleet with 2 engines and 0 services
    When 4 long streams run through entry-a
    And all sides are suspended permanently
    Then each long stream is truncated within 25 s
