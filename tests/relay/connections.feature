Feature: The entry's count of its connections to each server

  A connection that stays counted after its request leaves fewer idle ones to
  keep, and more connections are opened.

  Scenario: A request that times out leaves no connection counted
    Guards against a count that grows with each attempt that is cancelled at the
    time-out.

    Given a relay in front of 1 model server with a time-out of 0.3 seconds
    When the server hangs on its next request
    And a caller requests a stream that may run once
    Then the caller gets status 504 within 0.6 seconds
    And the entry keeps 0 connections to the servers

  Scenario: A caller that disconnects leaves no connection counted
    Guards against a count that grows with each attempt whose caller leaves.

    Given a relay in front of 1 model server
    When the server hangs on its next request
    And a caller disconnects after it has requested a stream
    Then the server detects that within 0.5 seconds
    And the entry keeps 0 connections to the servers

  Scenario: A fault before a request is sent leaves no connection counted
    Guards against an exception between the moment at which a connection is
    acquired and the one from which it is released in any case.

    Given a relay in front of 1 plain server
    When the next request can't be prepared once its connection is acquired
    And a caller fetches
    Then the servers got 0 requests
    And the entry keeps 0 connections to the servers

  Scenario: A request that may run once closes no connection of other requests
    It uses only connections that were idle for less than a second. Guards
    against older ones being closed that other requests may still use.

    Given a relay in front of 1 plain server
    When 3 callers fetch concurrently
    And the connections to the servers have been idle for 2 seconds
    And a caller sends a report
    Then the caller gets status 200
    And 4 connections were opened to the servers
    And the entry keeps 4 connections to the servers

  Scenario: Requests that were read before an entry stops get their responses
    A caller pipelines. Guards against whole requests that were read behind the
    one whose response announced the close, and were dropped unanswered.

    Given a relay in front of 1 plain server
    When the entry is stopped while the first of 3 pipelined requests runs
    Then it gets 3 responses in order
    And only the last of them closes the connection
