Feature: Servers that turn requests away and ask for rest

  Scenario Outline: A server that asks for rest gets nothing until its end
    A server is full and turns a request away, with the seconds for which it
    wants no more. Until then the others serve, and afterwards it is used again.

    Given a relay in front of 2 <kind> servers
    When the first server that gets a request asks for 1 seconds of rest
    And 6 callers <ask> one after the other
    Then every caller gets status 200
    And the resting server got 1 request
    When 1 seconds pass
    And 4 callers <ask> concurrently
    Then every caller gets status 200
    And the resting server got more than 1 request

    Examples:
      | kind  | ask             |
      | plain | fetch           |
      | model | request streams |

  Scenario Outline: All servers rest
    Callers immediately get the response that nothing has run. Its Retry-After
    is the shortest rest that is left, so that they return when it is over.

    Given a relay in front of 2 <kind> servers
    When the servers ask for 1 and 2.5 seconds of rest
    And 1 callers <ask> one after the other
    Then the caller gets status 503 and returns as the shortest rest ends
    When 3 callers <ask> one after the other
    Then the caller gets status 503 and returns as the shortest rest ends
    And the reason is that the servers rest
    And the servers got 2 requests
    When the time to retry has passed
    And 1 callers <ask> one after the other
    Then every caller gets status 200

    Examples:
      | kind  | ask             |
      | plain | fetch           |
      | model | request streams |

  Scenario: A route with a single attempt reports the shortest rest too
    Given a relay in front of 1 plain server
    When every server asks for 1 seconds of rest
    And 1 callers send reports one after the other
    Then the caller gets status 503 and returns as the shortest rest ends

  Scenario: The only server that is not evacuated rests
    Given a relay in front of 2 model servers, the second one in kamchia
    When kamchia is evacuated
    And every server asks for 1 seconds of rest
    And 2 callers request streams one after the other
    Then the caller gets status 503 and returns as the rest ends
    And the servers got 1 request

  Scenario Outline: A request placed before the rest began is not sent
    Callers' requests are on their way to a server, whose connection is still
    being opened, when its response to an earlier one asks for rest. They are
    placed at the other server, and nothing is held against the resting one.

    Given a relay in front of 2 <kind> servers
    And this entry grants itself 8 times as many permits
    When a server asks for rest while requests of 4 callers who <ask> connect to it
    Then every caller gets status 200
    And the resting server got 1 request
    And no server is suspected, and 1 request was retried

    Examples:
      | kind  | ask             |
      | plain | fetch           |
      | model | request streams |

  Scenario: A request that waited for a permit is not sent
    The rest begins with the end of requests, which frees permits for those
    that wait.

    Given a relay in front of 1 model server
    When the server holds as many streams as it grants permits, and others wait
    And the server turns them away and asks for 2 seconds of rest
    Then every caller gets status 503
    And the server got only the streams that it held

  Scenario: A resting server gets nothing where breakers are ignored
    Given a relay in front of 4 plain servers
    When the first server that gets a request asks for 5 seconds of rest
    And 1 callers fetch one after the other
    And the breakers of 3 servers are open
    Then 3 servers may be sent a request
    When 8 callers fetch concurrently
    Then the resting server got 1 request

  Scenario: A shorter rest does not shorten the one in force
    Given a relay in front of 1 plain server
    When the server asks two requests for 1 and then 0.1 seconds of rest
    And 0.3 seconds pass
    And a caller fetches
    Then the caller gets status 503 and when to retry
    And the servers got 2 requests

  Scenario: A longer rest prolongs the one in force
    Given a relay in front of 1 plain server
    When the server asks two requests for 0.1 and then 1 seconds of rest
    And 0.3 seconds pass
    And a caller fetches
    Then the caller gets status 503 and when to retry
    And the servers got 2 requests

  Scenario: A response to another request counts too
    Given a relay in front of 1 plain server
    And a time-out of 0.3 seconds
    When the server responds to another request and asks for 2 seconds of rest
    And a caller sends a report
    Then the caller gets status 504
    When a caller sends a report
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: A refusal that names no time is no rest
    Given a relay in front of 1 plain server
    When the server sheds its next request
    And a caller sends a report
    Then the caller gets status 503 and when to retry
    When a caller sends a report
    Then the caller gets status 200

  Scenario: A rest outlasts a restart under the same id
    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When every server asks for 2 seconds of rest
    And a caller sends a report
    And every server is listed with start 950 and revision 30
    And a caller sends a report
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: The rest of a server that is no longer listed is forgotten
    Given a relay in front of 1 plain server
    When every server asks for 60 seconds of rest
    And a caller sends a report
    And no server is listed any more, and state of it is created late
    And the list changes again
    Then the entry has no state of any server

  Scenario: A rest keeps the idle connections
    Given a relay in front of 1 plain server
    When every server asks for 0.5 seconds of rest
    And a caller sends a report
    And a caller sends a report
    And 0.6 seconds pass
    And a caller sends a report
    Then the caller gets status 200
    And the entry has opened 1 connection

  Scenario: One line and one count for each rest, whatever is turned away
    Given a relay in front of 1 plain server
    When every server asks 6 times for 2 seconds of rest
    And 6 callers fetch concurrently
    And 3 callers fetch one after the other
    Then one line reports the rest of 2 seconds, with its request and status 503
    And the page counts 1 rest and shows 1 resting server
