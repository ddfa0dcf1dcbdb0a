Feature: Responses to requests that the server has not read

  Scenario Outline: A server ends a <name> response to a request of <kilobytes> KB that it reads no further: <how>
    Guards against a part that its caller gets as the complete response: without
    a length it ends with the connection, and the request was still on its way.

    Given a relay in front of 1 <pool> server
    When the server reads 1 KB of the next request, responds without a length and <how>
    And a caller sends a <name> of <kilobytes> KB
    Then what the caller has got is <result>

    Examples:
      | name        | pool  | kilobytes | how                                | result             |
      | report      | plain | 4000      | closes its half                    | status 502         |
      | report      | plain | 1000      | closes its half                    | status 502         |
      | report      | plain | 4000      | closes its half, then resets       | status 502         |
      | report      | plain | 1000      | closes its half, then resets       | status 502         |
      | report      | plain | 64        | closes its half, then resets       | status 502         |
      | report      | plain | 2         | closes its half, then resets       | status 502         |
      | report      | plain | 3         | closes its half, then resets       | status 502         |
      | report      | plain | 4000      | resets                             | status 502         |
      | report      | plain | 4000      | closes                             | status 502         |
      | once-stream | model | 4000      | closes its half                    | a truncated stream |
      | once-stream | model | 1000      | closes its half, then resets       | a truncated stream |
      | once-stream | model | 4000      | resets                             | a truncated stream |

  Scenario Outline: A server responds before it has read a request, with <framing>
    Guards against a complete response that is rejected because the request was
    still on its way: its own length says that it is complete.

    Given a relay in front of 1 plain server
    When the server reads 1 KB of the next request and responds with <framing>
    And a caller sends a report of 4000 KB
    Then what the caller has got is the whole response

    Examples:
      | framing  |
      | a length |
      | chunks   |
