Feature: an HTTP client keeps its connections

  Scenario: calls one after the other share a connection
    Given a server that tells callers apart by their port
    When a client makes 3 calls one after the other
    Then the server has seen 1 connection

  Scenario: calls at once each have a connection
    Given a server that tells callers apart by their port
    When a client makes 3 calls at once
    Then the server has seen 3 connections

  Scenario: a kept connection that the server has closed is not used
    A server closes connections that were idle for long, or restarts. A call
    on such a connection would break although it never arrived, and the caller
    would hear that its outcome is unknown.
    Given a server that tells callers apart by their port
    When a client makes a call, the server restarts, and it makes another
    Then both calls are answered

  Scenario: an answer that nobody reads to its end frees nothing for others
    A reader is cancelled in the middle of an answer. The rest of that answer
    still comes on the connection: the next call there would receive it as its
    own.
    Given a server whose answers never end
    When a client is cancelled in the middle of an answer
    Then the client keeps no connection

  Scenario: idle connections are bounded
    Given a server that tells callers apart by their port
    When a client that keeps 2 connections makes 4 calls at once
    Then the client keeps 2 connections
