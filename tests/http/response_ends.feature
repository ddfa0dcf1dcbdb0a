Feature: the end of a connection is not the end of a response

  A response without a length and not in chunks ends with its connection, which
  also ends when its server crashes or leaves the request unread.

  Scenario Outline: a server <ends> in such a response
    Guards against a part of a response that is taken for the complete one.
    Given a server that sends a response without a length
    When it <ends> in the middle of the response to a request of <kilobytes> KB
    Then the client reports a response that is <outcome>

    Examples:
      | ends                            | kilobytes | outcome  |
      | closes the connection           | 0         | complete |
      | ends                            | 0         | broken   |
      | resets the connection           | 0         | broken   |
      | closes its half, 1 KB read      | 3000      | broken   |
      | closes its half, then resets    | 2         | broken   |
      | closes its half, 1 KB read      | 1000      | broken   |

  Scenario Outline: a response with status <status>
    Guards against bytes that are no response and are taken for one: a status is
    a number from 100 to 599.
    Given a server that responds with status <status> and a length
    When a client reads a response of that server
    Then the client reports a response that is <outcome>

    Examples:
      | status | outcome  |
      | 000    | broken   |
      | 099    | broken   |
      | 599    | complete |
      | 600    | broken   |
      | 999    | broken   |
