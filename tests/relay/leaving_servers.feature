Feature: Servers that say in a response that they leave

  Scenario Outline: A server that says so gets nothing new
    A server is about to shut down and says so in its responses, before the list
    does.

    Given a relay in front of 2 <kind> servers
    When the first server that gets a request leaves
    And 6 callers <ask> one after the other
    Then every caller gets status 200
    And the leaving server got 1 request
    And no caller got the header of the leaving server

    Examples:
      | kind  | ask             |
      | plain | fetch           |
      | model | request streams |

  Scenario Outline: Any response says so
    Given a relay in front of 2 plain servers
    When the first server that gets a request leaves, and its act is <act>
    And 6 callers fetch one after the other
    Then the leaving server got 1 request

    Examples:
      | act          |
      | fail         |
      | shed         |
      | answer_other |
      | cut          |

  Scenario: The head of a response says so, and the response runs to its end
    Given a relay in front of 2 model servers
    When the first server that gets a request leaves, and its act is pause
    And a stream runs there while 6 callers request streams one after the other
    Then every caller gets status 200
    And the leaving server got 1 request
    And the stream that started before is complete

  Scenario: A response of another server at its address says nothing about it
    Given a relay in front of 1 plain server
    When the first server that gets a request leaves, and its act is misdirect
    And a caller sends a report
    Then the first server is not leaving

  Scenario Outline: A request placed before is not sent
    Given a relay in front of 2 <kind> servers
    And this entry grants itself 8 times as many permits
    When a server says that it leaves while requests of 4 callers who <ask> connect to it
    Then every caller gets status 200
    And the leaving server got 1 request
    And no server is suspected, and 0 requests were retried

    Examples:
      | kind  | ask             |
      | plain | fetch           |
      | model | request streams |

  Scenario: A request that waited for a permit is not sent
    Given a relay in front of 1 model server
    When the server holds as many streams as it grants permits, and others wait
    And the server serves them and says that it leaves
    Then those that waited get status 503
    And the server got only the streams that it held

  Scenario: A record that still says ready changes nothing
    The list is behind, the store has an outage, and a neighbour's view is
    older still.

    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When the first server that gets a request leaves
    And a caller sends a report
    And every server is listed with start 900 and revision 20
    And every server is listed with start 900 and revision 21
    And every server is listed with start 850 and revision 15
    And the store is unreachable for a moment
    And every server is listed with start 900 and revision 22
    And a caller sends a report
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: A server that is listed again is still leaving
    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When the first server that gets a request leaves
    And a caller sends a report
    And no server is listed any more, and state of it is created late
    And every server is listed with start 900 and revision 25
    And a caller sends a report
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: A later start is not leaving
    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When the first server that gets a request leaves
    And a caller sends a report
    And the leaving server has restarted
    And every server is listed with start 950 and revision 30
    And a caller sends a report
    Then the caller gets status 200
    And the servers got 2 requests

  Scenario: A late response of the former start says nothing about the later one
    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When the former start says that it leaves, after the later one is listed
    And a caller sends a report
    Then the caller gets status 200
    And the servers got 2 requests

  Scenario: What ran there when it disappeared is not suspected
    A leaving server ends and closes its connections; a request still ran there.

    Given a relay in front of 1 plain server
    When a caller's request runs at the server, which says to another that it leaves
    And the server closes its connections and is no longer listed
    Then no request is suspected

  Scenario: One line and one count
    Given a relay in front of 2 plain servers
    When the first server that gets a request leaves
    And 4 callers fetch one after the other
    Then one line reports that the server leaves, with its request
    And the page counts 1 announced leaving
