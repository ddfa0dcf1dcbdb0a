Feature: a response is never taken for that of a later request

  Scenario Outline: bytes after a complete response are discarded
    A server answers twice. The parser keeps what arrives with the end of a
    response, and would read it as the response to the next request on the
    connection: one caller would get what another had asked for.
    Given a server that sends <surplus> after its first response
    When a client makes 2 calls, 0.1 seconds apart
    Then each call gets its own response
    And the calls used 2 connections

    Examples:
      | surplus                               |
      | a second response at once             |
      | a second response after 0.05 seconds  |
      | a second response without a body      |
      | half a second response at once        |
      | bytes that are no response            |

  Scenario Outline: a response ends where a read ends
    The event loop reads more than the parser is given at a time. The rest is
    neither in the parser nor in the socket, and must not look like nothing.
    Given a server that sends a second response after one of <size> bytes
    When a client makes 2 calls, 0.1 seconds apart
    Then each call gets its own response
    And the calls used 2 connections

    Examples:
      | size   |
      | 65536  |
      | 131072 |
      | 262144 |

  Scenario: a late second response is told by its id
    It arrives when the next request has been sent. Nothing but an id that the
    server sends back can tell that it belongs to the request before.
    Given a server that sends a second response after the next request
    When a client makes 3 calls, 0.0 seconds apart
    Then call 1 ends without a response and the others get their own
    And the calls used 2 connections
