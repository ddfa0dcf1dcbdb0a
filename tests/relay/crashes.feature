Feature: Requests that crash the servers which run them

  Scenario: Such a request stops after the third server
    A caller's request crashes each server that runs it, and the caller sends it
    again and again. Each crash ends everything that runs on the server, until
    the request is identified and refused, with the truth: it was not run.

    Given a relay in front of 6 plain servers
    When a report crashes every server that runs it
    And a caller sends the same report 6 times
    Then 3 servers crashed
    And the last response is 503 and says when to retry

  Scenario: Responses that end with their connection hide no crash
    Guards against a request that crashes one engine after the other because its
    responses state no length, so that they seem to end and not to break off.

    Given a relay in front of 6 model servers
    When a stream without shared parts crashes every server after its head
    And a caller sends that stream 6 times
    Then 3 servers crashed
    And the last response is 503 and says when to retry

  Scenario: What ran beside it is served
    Given a relay in front of 6 plain servers
    When a report crashes every server that runs it
    And a caller sends the same report 6 times
    And another caller sends its own report
    Then the caller gets status 200

  Scenario: A lost response is no crash
    A server's responses are lost: the connection ends, and the server runs on.

    Given a relay in front of 2 plain servers
    When every server resets the connections of its next 8 requests
    And a caller sends the same report 8 times
    Then no request is suspected

  Scenario: A crashed server is detected by the list
    At first nothing else listens on its port, and the server is removed from
    the list.

    Given a crash watch
    When the connection of a request to i-1 ends
    And i-1 is unreachable 1.0 seconds later
    Then the request has 1 strike

  Scenario: A connection that ended long before proves nothing
    Given a crash watch
    When the connection of a request to i-1 ends
    And i-1 is unreachable 5.0 seconds later
    Then the request has 0 strikes

  Scenario: The line about a crash tells what may have caused it
    Guards against an incident that can't be traced: without the parts of the
    prompts that no response had begun to, nothing shows what crashes share.

    Given a relay in front of 2 model servers
    When a stream crashes its server before its first event
    And a caller requests another stream
    Then the line about the crash has the shared parts of that prompt

  Scenario: Strikes are sent through several failure domains
    Guards against a request that crashes more than three servers: the one side
    that passed the strikes on had stalled, and no other entry received them.

    Given links to 3 sides in each of 4 failure domains
    Then strikes are sent through 1 side of each
    And while the sides of one failure domain are unreachable, through the 3 others
