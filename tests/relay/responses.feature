Feature: Each request gets at most one response

  Scenario Outline: A stream that no server continues is truncated
    A stream's server crashes half way, and the next one responds with a status
    of its own. Guards against that response within the one that has begun: its
    caller can't parse what it gets.

    Given a relay in front of 2 model servers
    When a stream is interrupted, and then gets <response>
    And a caller requests a resumable stream
    Then the caller's response is truncated, and nothing follows its events
    And the log reports 1 truncated response, because of "<cause>"

    Examples:
      | response     | cause      |
      | fail         | status 500 |
      | find_nothing | status 404 |
      | have_nothing | status 204 |
      | shed         | status 503 |

  Scenario: A request that may have run is never told that it has not
    A stream's server ends before its first event, and the next one turns the
    request away. Guards against "not run" for what an engine may have run.

    Given a relay in front of 2 model servers
    When a stream is reset before its first event, and then gets shed
    And a caller requests a resumable stream
    Then the caller gets status 502

  Scenario: A stream is continued by a third server if the second does not
    The second server responds 404. Guards against a response that is given up
    while the route still allows an attempt.

    Given a relay in front of 3 model servers
    And the routes allow 3 servers
    When a stream is interrupted, and then gets find_nothing
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the log reports 0 truncated responses, because of "status 404"

  Scenario: A time-out in the iteration that delivers a response changes nothing
    The event loop is late: it reads the end of a response, and in the same
    iteration the request's time is over. Guards against an error response after
    the complete one, which the caller would read as that of its next request.

    Given a relay in front of 1 plain server
    And a time-out of 0.1 seconds
    When the server responds and the event loop is late for the time-out
    And a caller sends 2 fetch requests on one connection
    Then it gets a complete response with status 200 to each
    And the log reports 2 requests served

  Scenario: A time-out in the iteration that ends a stream changes nothing
    Guards against a connection that closes without having announced it, after
    a complete stream: the next request on it would get no response.

    Given a relay in front of 1 model server
    And a time-out of 0.1 seconds
    When the server responds and the event loop is late for the time-out
    And a caller sends 2 once-stream requests on one connection
    Then it gets a complete response with status 200 to each
    And the log reports 2 requests served

  Scenario: A fault after a complete response does not close the connection
    Guards against a connection that closes without having announced it, where
    the entry fails to record what became of a request.

    Given a relay in front of 1 plain server
    When the connection of the next request can't be released
    And a caller sends 2 fetch requests on one connection
    Then it gets a complete response with status 200 to each

  Scenario: A stream whose caller stops reading is truncated at its time-out
    Given a relay in front of 1 model server
    And a time-out of 0.3 seconds
    When the server sends more than its caller reads in 0.6 seconds
    Then the caller's response is truncated
    And it has one status line

  Scenario: A pipelined request is told to continue after the earlier response
    A caller sends the head of a request while it reads a stream. Guards against
    an interim response within the stream.

    Given a relay in front of 1 model server and 1 plain server
    When a caller that reads a stream sends the head of a report
    Then the stream is complete, and "100 Continue" follows it
    And the report gets status 200

  Scenario: A request is told to continue after all earlier responses
    A complete request waits between the one in progress and the one that asks.
    Guards against an interim response that precedes the response to another
    request.

    Given a relay in front of 1 model server and 1 plain server
    When a caller that reads a stream sends a fetch and the head of a report
    Then the response to the fetch is complete before it is told to continue
    And the report gets status 200

  Scenario: A request on an idle connection is told to continue immediately
    Given a relay in front of 1 plain server
    When a caller sends the head of a report
    Then it is told to continue, and the report gets status 200

  Scenario: An error response to a HEAD request has no body
    Guards against a body that the caller of a persistent connection would read
    as the response to its next request.

    Given a relay in front of 1 plain server
    When one server stops
    And a caller sends a HEAD request, and then fetches on the same connection
    Then each of the 2 responses is read with status 503

  Scenario: A HEAD request for a stream gets its head
    Given a relay in front of 1 model server
    When a caller sends a HEAD request for a stream
    Then the caller gets status 200

  Scenario: The response to a rejected HEAD request has no body
    Given a relay in front of 1 plain server
    When a caller sends a HEAD request with two hosts
    Then the caller gets status 400
    And it has no body

  Scenario: Too many pipelined requests break off no response
    Guards against a connection that closes within the response in progress, and
    without having announced it: the caller could not tell what has run.

    Given a relay in front of 1 model server and 1 plain server
    When a caller that reads a stream pipelines 18 fetches
    Then the stream is complete, and one response that closes follows it
    And the servers got 2 requests

  Scenario Outline: A request for a protocol upgrade gets one response
    The parser skips its body. Guards against a request that a server runs
    without its body, and against an error response after the server's, which
    the caller would read as the response to its next request.

    Given a relay in front of 1 plain server
    When a caller sends a <name> request for a protocol upgrade
    Then it gets one response with status 400, which announces the close
    And the servers got 0 requests

    Examples:
      | name   |
      | fetch  |
      | report |

  Scenario: An interim response is not the response
    A server sends "103 Early Hints", without a request id, before the response
    itself. Guards against a report that is answered 502 though it was served.

    Given a relay in front of 1 plain server
    When the server sends an interim response before its next one
    And a caller sends a report
    Then the caller gets status 200
    And the entry keeps 1 connections to the servers

  Scenario: A server that switches protocols did not crash
    The entry has asked for no other protocol, so the response is unreadable.
    Guards against an error in the connection that looks like a reset: requests
    whose servers reset their connections are suspected of crashing them.

    Given a relay in front of 1 plain server
    When the server switches to another protocol at its next request
    And a caller sends a report
    Then the caller gets status 502
    And the request ended because of "outcome_unknown: unreadable"
