Feature: an HTTP client reuses its connections

  Scenario: consecutive calls share a connection
    Given a server that counts its connections
    When a client makes 3 consecutive calls
    Then the server has seen 1 connection

  Scenario: concurrent calls each have a connection
    Given a server that counts its connections
    When a client makes 3 concurrent calls
    Then the server has seen 3 connections

  Scenario: an idle connection that the server has closed is not used
    A server closes connections after its keep-alive timeout, or restarts. A
    call on such a connection would fail although it never arrived, and would
    be reported with an unknown outcome.
    Given a server that counts its connections
    When a client makes a call, the server restarts, and it makes another
    Then both calls succeed

  Scenario: a connection is not reused after a response that was not read
    A reader is cancelled in the middle of a response. The rest of the response
    still arrives on the connection: the next call on it would receive it as
    its own.
    Given a server whose responses never end
    When a client is cancelled in the middle of a response
    Then the client has no idle connections

  Scenario: a connection is not reused after a response that did not arrive
    An attempt is abandoned before its response. The response to it would be
    read as the one to the next request on the connection.
    Given a server that counts its connections
    When a client is cancelled before its response arrives
    Then the client has no idle connections

  Scenario: the number of idle connections is limited
    Given a server that counts its connections
    When a client with at most 2 idle connections makes 4 concurrent calls
    Then the client has 2 idle connections
