Feature: an HTTP server lives exactly as long as its owner

  Scenario: a cancelled owner closes its listener
    A process that stops cancels the scope around its servers, and refuses
    connections from then on. When uvicorn's loop was cancelled before its
    shutdown ran, the port went on responding.
    Given a server inside a cancel scope
    When the scope is cancelled
    Then a call to the server is refused

  Scenario: the response of a handler that fails midway is not complete
    The handler sends a part of the body and raises. The connection must close
    without the last chunk, so that the client reads a truncated response.
    Given a server whose handler fails after part of the body
    When a client reads the response
    Then the client reports a broken exchange

  Scenario: a response in several writes is sent without delay
    A server sends the header of a response and then its body. Without
    TCP_NODELAY the kernel delays the body until the client has acknowledged
    the header, and the client delays its acknowledgement: each response came
    some 40 ms late.
    Given a listening socket of the server
    When a client connects to it
    Then the accepted connection sends without delay

  Scenario: a client that has just connected at shutdown gets a response
    Its connection is open and its request on the way when the server stops.
    If the connection were closed immediately, the client would get no response
    at all, and could not know that nothing has run.

    Given a server that responds to every call
    When a client connects, the server stops, and the client sends a call
    Then the client gets a response and the connection is closed
    And the server has stopped within 2 seconds

  Scenario Outline: each listener responds to a client that has just connected
    Guards against a shutdown without a response at the callers' listener,
    whose protocol is another one than that of peers and operators.
    Given a server of <listener> that responds to every call
    When a client connects, the server stops, and the client sends a call
    Then the client gets a response and the connection is closed
    And the server has stopped within 2 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: a request that is half sent at shutdown gets a response
    Guards against interrupting a slow client in the middle of its header.
    Given a server of <listener> that responds to every call
    When a client sends half a header, the server stops, and the rest follows
    Then the client gets a response and the connection is closed
    And the server has stopped within 2 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: clients that a late loop has not accepted get responses
    Guards against a reset of connections that are pending in the kernel when
    the listener closes: the clients have connected and sent their requests.
    Given a server of <listener> that responds to every call
    When 20 clients connect and call while the loop is late and the server stops
    Then all clients get a response

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: a response in progress at shutdown keeps its promise
    Guards against a keep-alive connection that closes without notice: its
    response began before the server stopped and did not announce that it is
    the last one.
    Given a server of <listener> that responds slowly
    When a response has begun, the server stops, and a second call follows it
    Then the client gets both responses and the connection is closed
    And the server has stopped within 3 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: an idle connection with an unread request is not closed
    Guards against a reset of a request that a late loop has not read yet, when
    its connection is the one that was idle longest.
    Given a server of <listener> that responds to every call
    When idle connections are evicted while one has an unread request
    Then the client gets a response

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario: a connection without a request does not delay the shutdown
    Given a server that responds to every call
    When a client connects, and the server stops
    Then the server has stopped within 2 seconds
