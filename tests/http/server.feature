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

  Scenario: a connection that asks nothing does not hold the end up
    Given a server that answers every call
    When a caller connects, and the server stops
    Then the server has ended within 2 seconds
