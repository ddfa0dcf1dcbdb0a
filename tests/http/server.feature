Feature: an HTTP server lives exactly as long as its owner

  Scenario: a cancelled owner closes its listener
    A process that stops cancels the scope around its servers. The caller then
    connects and must be refused: uvicorn's loop used to be cancelled before
    its shutdown ran, and the port went on answering.
    Given a server inside a cancel scope
    When the scope is cancelled
    Then a call to the server is refused

  Scenario: a handler that fails midway never looks complete
    The handler sends a part of the body and raises. The connection must close
    without the last chunk, so that the client reads a broken answer.
    Given a server whose handler fails after part of the body
    When a client reads the answer
    Then the client reports a broken exchange

  Scenario: an answer in several writes is not held back
    A server sends the head of an answer and then its body. Without TCP_NODELAY
    the kernel keeps the body until the client has acknowledged the head, which
    the client puts off: each answer came some 40 ms late.
    Given a listening socket of the server
    When a client connects to it
    Then the accepted connection sends without delay

  Scenario: a caller that has just connected when the server ends is answered
    Its connection is open and its request on the way when the process is asked
    to end. Closed at once it would get no answer at all, and could not know
    that nothing has run.

    Given a server that answers every call
    When a caller connects, the server stops, and the caller sends a call
    Then the caller is answered and the connection is closed
    And the server has ended within 2 seconds

  Scenario Outline: whoever listens answers a caller that has just connected
    Guards against an end without an answer at the callers' listener, whose
    protocol is another one than that of peers and operators.
    Given a server of <listener> that answers every call
    When a caller connects, the server stops, and the caller sends a call
    Then the caller is answered and the connection is closed
    And the server has ended within 2 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: a request that is half sent when the server ends is answered
    Guards against a slow caller whose head is cut in the middle.
    Given a server of <listener> that answers every call
    When a caller sends half a head, the server stops, and the rest follows
    Then the caller is answered and the connection is closed
    And the server has ended within 2 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: callers that a late loop has not accepted yet are answered
    Guards against a reset of connections that wait in the kernel when the
    listener closes: the callers have connected and sent their requests.
    Given a server of <listener> that answers every call
    When 20 callers connect and ask while the loop is late and the server ends
    Then all callers are answered

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: an answer under way at the end keeps what it has promised
    Guards against a kept connection that closes without a word: its answer
    began before the server ended and did not say that it is the last one.
    Given a server of <listener> that answers slowly
    When an answer has begun, the server stops, and a second call follows it
    Then the caller has both answers and the connection is closed
    And the server has ended within 3 seconds

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario Outline: an idle connection with an unread request is not cut
    Guards against a reset of a request that a late loop has not read yet, when
    its connection is the one that was idle longest.
    Given a server of <listener> that answers every call
    When room is made while a request waits unread on the idle connection
    Then the caller is answered

    Examples:
      | listener |
      | callers  |
      | peers    |

  Scenario: a connection that asks nothing does not hold the end up
    Given a server that answers every call
    When a caller connects, and the server stops
    Then the server has ended within 2 seconds
