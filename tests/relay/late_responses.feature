Feature: Servers that respond twice, the second time late

  Scenario: A late "not run" of an earlier request ends no other request
    A server responds to a request and later reports that it did not run it,
    where the response to the next request is due. Believed of the next request,
    its caller was told "not run" while the server ran it.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by a shed
    And a caller fetches
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 2 requests
    And 1 connection was opened to the servers

  Scenario: A late 421 for an earlier request takes no server out of use
    Guards against a server that gets nothing more because a response to another
    request marked it as misaddressed.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by a 421
    And a caller fetches
    And a caller sends a report
    Then 1 server may be sent a request
    And the caller gets status 502

  Scenario: The load in a response to an earlier request is not recorded
    Given a relay in front of 1 plain server
    When the server's next response is followed late by a shed
    And a caller fetches
    And a caller sends a report
    Then no load of the servers is recorded

  Scenario: "Not run" without an id is not believed after an earlier request
    A response without an id may be a late one to an earlier request on the
    connection. Only the first request of a connection can't be mistaken.

    Given a relay in front of 1 plain server
    When a caller fetches
    And the server sheds its next request
    And a caller sends a report
    Then the caller gets status 502
    And 1 connection was opened to the servers
