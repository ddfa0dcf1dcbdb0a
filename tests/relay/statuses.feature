Feature: Statuses of servers

  Scenario Outline: A response with status <status> and <framing> is no response
    Guards against a request that waits until its deadline, with its slot, for
    the response after an interim one, and against a caller that gets bytes as a
    response which no HTTP client reads as one.

    Given a relay in front of 1 <pool> server
    When the server's next response has status <status> and <framing>
    And a caller reads the response to a <name> as it comes
    Then the caller gets status 502 within 1 seconds
    And the server counts as failed once

    Examples:
      | status | framing   | name        | pool  |
      | 000    | a length  | report      | plain |
      | 000    | chunks    | report      | plain |
      | 000    | no length | report      | plain |
      | 001    | a length  | report      | plain |
      | 099    | a length  | report      | plain |
      | 600    | a length  | report      | plain |
      | 999    | chunks    | report      | plain |
      | 600    | no length | report      | plain |
      | 000    | chunks    | once-stream | model |
      | 600    | chunks    | once-stream | model |

  Scenario Outline: A response with status <status> is passed on
    Guards against responses that are rejected though their status is valid.

    Given a relay in front of 1 plain server
    When the server's next response has status <status> and a length
    And a caller reads the response to a report as it comes
    Then the caller gets status <status>

    Examples:
      | status |
      | 200    |
      | 299    |
      | 404    |
      | 599    |
