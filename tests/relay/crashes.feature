Feature: Requests that crash the servers which run them

  Scenario: Such a request stops after the third server
    A caller's request crashes each server that runs it. The caller sends it
    again and again. Each time a server goes down with all that it runs, until
    the request is known and refused, with the truth: it was not run.

    Given a relay before 6 plain servers
    When every server goes down under a report
    And a caller sends the same report 6 times
    Then 3 servers went down
    And the last answer is 503 with when to come back

  Scenario: What ran beside it is served
    Given a relay before 6 plain servers
    When every server goes down under a report
    And a caller sends the same report 6 times
    And another caller sends its own report
    Then the caller gets status 200

  Scenario: A lost answer is no crash
    A server's answers are lost: the connection ends, and the server lives.

    Given a relay before 2 plain servers
    When every server resets its next 8 requests
    And a caller sends the same report 8 times
    Then no request is suspected

  Scenario: A server that went down is found by the list
    Its port is taken over by nobody at first, and its place in the list goes.

    Given a watch for crashes
    When the connection of a request to i-1 ends
    And i-1 is away 1.0 seconds later
    Then the request has 1 strike

  Scenario: A connection that ended long before proves nothing
    Given a watch for crashes
    When the connection of a request to i-1 ends
    And i-1 is away 5.0 seconds later
    Then the request has 0 strikes

  Scenario: The news of a crash goes through several failure domains
    Guards against a request that crashes more than three servers: the one side
    that passed the strikes on had stalled, and no other entry heard of them.

    Given links to 3 sides in each of 4 failure domains
    Then news of a crash goes through 1 side of each
    And while the sides of one failure domain are cut off, through the 3 others
