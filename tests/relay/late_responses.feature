Feature: Servers that respond twice, the second time late

  Scenario: A late "not run" of an earlier request ends no other request
    A server responds to a request and later reports that it did not run it,
    where the response to the next request is due. Believed of the next request,
    its caller was told "not run" while the server ran it.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by a shed
    And a caller fetches
    And a caller sends a report
    Then the caller gets its own response
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
    And the caller gets its own response

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

  Scenario: A late response that waits unread costs no caller its response
    A late event loop sends a request before it reads the late response that has
    arrived meanwhile. It would be read as the response to the new request,
    which is then lost, though nothing had been sent when it arrived.

    Given a relay in front of 1 plain server
    When a caller fetches
    And a late response arrives just before a caller's report is sent
    Then the caller gets status 200
    And the servers got 2 requests

  Scenario: Nothing is sent on a connection whose end waits unread
    Guards against a report that is answered 502, as it may have run, though its
    server had closed the connection before.

    Given a relay in front of 1 plain server
    When a caller fetches
    And the server closes its connections just before a caller's report is sent
    Then the caller gets status 200
    And the servers got 2 requests

  Scenario: Bytes after a complete response do not invalidate it
    A faulty server sends a complete response and bytes that are no response, in
    one packet. Only the connection is lost by that; the caller got 502.

    Given a relay in front of 1 plain server
    When the server's next response is followed by bytes that are none
    And a caller sends a report
    Then the caller gets status 200
    And the entry keeps 0 connections to the servers

  Scenario: The beginning of a second response makes the connection unusable
    Guards against the rest of it, which would be read as the beginning of the
    response to the next request.

    Given a relay in front of 1 plain server
    When the server's next response is followed by a part of another one
    And a caller sends a report
    Then the caller gets status 200
    And the entry keeps 0 connections to the servers

  Scenario: A body that follows a response without one makes it unusable
    Guards against the rest of the body of a HEAD response, as above.

    Given a relay in front of 1 plain server
    When the server sends a body with its next HEAD response
    And a caller sends a HEAD request
    Then the caller gets status 200
    And the entry keeps 0 connections to the servers

  Scenario Outline: A truncated response is not completed by the next one
    A server sends the beginning of a late "not run", and then the response to
    the next request. Read as one head, they have the status of the first and
    the request id of the second.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by one cut in its <place>
    And a caller fetches
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 2 requests
    And 1 connection was opened to the servers

    Examples:
      | place  |
      | header |
      | status |

  Scenario: An operator sees which servers respond to another request
    The caller only gets an error; nothing else shows that a server responds
    twice, or to which request. Ids have any length, lines have not.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by a shed
    And a caller fetches with a request id of 200 characters
    And a caller sends a report
    Then a line names the discarded response, with 64 characters of its id
    And the page counts 1 discarded response to another request

  Scenario: A late response to the first attempt is not the second attempt's
    A server fails a request and the relay sends it to the same server again.
    The failure arrives twice, the second time where the response to the second
    attempt is due, and with the same request id.

    Given a relay in front of 1 plain server
    When the server fails its next request and repeats the failure late
    And a caller fetches
    Then the caller gets status 200
    And the servers got 2 requests
    And 2 connections were opened to the servers

  Scenario: Callers that use the same request id get no response of each other
    The late second response to one caller's request has the id of another
    caller's request, which goes over the same connection.

    Given a relay in front of 1 plain server
    When the server's next response is followed late by another one
    And 2 callers send reports with the same request id, one after the other
    Then each caller got its own response

  Scenario: A retry keeps the connections that it can't use
    Guards against a new connection for each attempt that is retried: only the
    connection that carried the first attempt is passed over.

    Given a relay in front of 1 plain server
    When 2 callers fetch concurrently
    And the server fails its next request and repeats the failure late
    And a caller fetches
    Then the caller gets status 200
    And 2 connections were opened to the servers
    And the entry keeps 2 connections to the servers

  Scenario: A connection is closed before its record of ids is full
    Guards against a record that forgets: a late response to a request that it
    no longer has would be taken for that of a later one with the same id.

    Given a relay in front of 1 plain server
    When as many callers as a connection may serve fetch one after the other
    Then the entry keeps 0 connections to the servers

  Scenario: A body cut short is not completed by the same response again
    A server stops within the body of a response, keeps the connection and sends
    the whole response a second time. The missing bytes of the first would be
    taken from the head and the body of the second.

    Given a relay in front of 1 plain server
    When the server cuts the body of its next response and repeats it
  Scenario Outline: A late response is skipped, and its connection not reused
    A request that may run once meets a late response. Guards against a caller
    that gets "may have run" although its own response follows.

    Given a relay in front of 1 plain server
    When a caller fetches
    And the server's next response follows <late>
    And a caller sends a report
    Then the caller gets its own response
    And the servers got 2 requests
    And 1 connection was opened to the servers
    And the entry keeps 0 connections to the servers
    And the log reports <count> discarded responses to another request

    Examples:
      | late          | count |
      | a late one    | 1     |
      | a shed        | 1     |
      | a chunked one | 1     |
      | two late ones | 2     |

  Scenario Outline: A late response that can't be skipped ends the attempt
    It is not clear where it ends, or whether it is to another request. Guards
    against a wrong response, and against waiting for one that was taken for the
    rest of the late one.

    Given a relay in front of 1 plain server
    When a caller fetches
    And the server's next response follows <late>
    And a caller sends a report
    Then the caller gets status 502
    And the caller gets nothing of the response to another request
    And the servers got 2 requests
    And the entry keeps 0 connections to the servers

    Examples:
      | late                     |
      | one without an id        |
      | one without a length     |
      | one cut in its body      |
      | one that closes          |
      | a late and an idless one |
      | four late ones           |

  Scenario: The late response to a HEAD request ends the attempt
    It states the length of a body that does not follow. Guards against waiting
    for one after the next response was taken for it.

    Given a relay in front of 1 plain server
    When a caller sends a HEAD request
    And the server's next response follows a late head
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 2 requests

  Scenario: A stream is read after a late response
    Given a relay in front of 1 model server
    When a caller requests a stream that may run once
    And the server's next response follows a late one
    And a caller requests a stream that may run once
    Then the caller receives all events once and the end
    And the servers got 2 requests
    And 1 connection was opened to the servers
    And the entry keeps 0 connections to the servers

  Scenario: A response without an id after a late one is not believed
    Guards against a "not run" on a new connection that has already delivered
    a response to another request.

    Given a relay in front of 1 plain server
    When the server sends a response to another request, and a shed without id
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 1 request
