Feature: Large bodies

  Scenario: Callers that send the largest bodies don't exhaust the memory
    Many callers send bodies as long as the limits allow, at the same time.
    Guards against an entry that holds all of them: it exceeds its memory, is
    killed, and the requests of all others are closed without a response.

    Given a relay in front of 1 plain server, for bodies in 20 MB
    When 12 callers send half of a body of 4 MB each
    Then some of them are refused at once with status 503 and when to retry
    And the entry holds 20 MB at most
    When another caller sends a report
    Then the caller gets status 200
    When the callers send the rest
    Then those that were not refused get status 200
    And the server received each body whole
    And the entry holds 0 MB at most
    And the log has a line for each refusal

  Scenario: A body of unknown length is refused when there is no more memory
    Guards against bodies in chunks, whose length is not announced, that exceed
    the memory.

    Given a relay in front of 1 plain server, for bodies in 2 MB
    When a caller sends a body of 4 MB in chunks
    Then the caller gets status 503
    And the entry holds 0 MB at most

  Scenario: A body that does not fit is refused where nothing is held yet
    Guards against a large body that gets 400, as if it were invalid, because
    its workspace holds no bytes when there is no room.

    Given a relay in front of 1 plain server, for bodies in 2 MB
    When 1 callers send half of a body of 4 MB each
    Then all of them are refused at once with status 503 and when to retry
    And the entry holds 0 MB at most
    When another caller sends a report
    Then the caller gets status 200

  Scenario: A refused body that turns out invalid gets no second response
    Guards against two responses to one request: its caller would read the
    second one as that to its next request.

    Given a relay in front of 1 plain server, for bodies in 2 MB
    When a caller sends a body of 4 MB in chunks, the last one invalid
    Then the caller gets status 503
    And it has one status line

  Scenario: An entry with many idle connections has room for a long prompt
    Guards against counting idle connections as if each had a request.

    Given an entry of 150 MB with 1600 connections, of which 100 have a request
    Then it may hold 40 MB of large bodies at least

  Scenario: A caller that leaves in the middle of a body gives its memory back
    Given a relay in front of 1 plain server, for bodies in 20 MB
    When 12 callers send half of a body of 4 MB each
    And they disconnect
    Then the entry holds 0 MB at most

  Scenario: A large body is sent as fast as its server reads
    A server reads slowly. Guards against a copy of each body in the buffer of
    its connection, which nothing bounds.

    When a body of 4 MB is sent to a server that reads nothing for a while
    Then 0.2 MB of it wait in the connection at most
    And the server receives all of it when it reads

  Scenario: A workspace with many large bodies leaves room for another
    Given an account of 20 MB
    When agency adds bodies of 2 MB until it is refused
    Then it holds 18 MB at most
    And pilot may add a body of 1 MB
    And agency may add none
