Feature: One request through the relay

  Scenario: A stream continues at another server without a missing piece
    A caller reads a stream. Its server crashes in the middle of an event. The
    relay requests the rest, after the last complete event, from another server.
    The caller receives every event once, in order, and one end.

    Given a relay in front of 2 model servers
    When the first server that gets a stream interrupts it
    And a caller requests a resumable stream
    Then the caller receives all events once and the end

  Scenario Outline: A stream continues after its last event: <case>
    Guards against streams that continue where the text of an event says, not
    its id: callers got complete responses with events missing or repeated.

    Given a relay in front of 2 model servers
    And their events have the form "<event>"
    When the first server that gets a stream interrupts it
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the second request continues after event 3

    Examples:
      | case                      | event                                            |
      | text with an id           | id: {number}\ndata: token {number}\ndata: floe id: 40\n\n |
      | text that ends like an id | id: {number}\ndata: token {number}\ndata: grid: 43 N\n\n |
      | text before the id        | data: token {number}\ndata: id: 1\nid: {number}\n\n |
      | a comment with an id      | : id: 1\nid:{number}\ndata: token {number}\n\n    |
      | a field that ends in id   | grid: 40\nid: {number}\ndata: token {number}\n\n   |
      | a version line            | x-versions: 7\nid: {number}\ndata: token {number}\n\n |
      | a comment after the event | id: {number}\ndata: token {number}\n\n: id: 9\n\n  |
      | CR LF                     | id: {number}\r\ndata: token {number}\r\n\r\n      |

  Scenario Outline: A stream without a number to continue after is truncated: <case>
    Guards against a second run whose events are appended to those of the first.

    Given a relay in front of 2 model servers
    And their events have the form "<event>"
    When the first server that gets a stream interrupts it
    And a caller requests a resumable stream
    Then the caller's response is truncated
    And the servers got 1 request

    Examples:
      | case                   | event                                          |
      | no id                  | data: token {number}\n\n                       |
      | an id that is no digit | id: a{number}\ndata: token {number}\n\n        |
      | an event without an id | id: {number}\ndata: token {number}\n\ndata: x\n\n |

  Scenario: A stream that may not be resumed is truncated, never complete
    A caller reads a stream that may run once. Its server crashes half way. A
    second run could generate a different response, so the caller's connection
    is closed without the end of the stream.

    Given a relay in front of 2 model servers
    When every server interrupts its next stream
    And a caller requests a stream that may run once
    Then the caller's response is truncated
    And the servers got 1 request

  Scenario: A response to another request reaches no caller
    A server sends a late response where the next one is due. If it were
    forwarded, a caller would receive what another one requested.

    Given a relay in front of 2 plain servers
    When every server sends the response of another request next
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: A second response makes the connection unusable
    A server sends bytes after a complete response. The connection is closed,
    so that the next caller does not receive them as its response.

    Given a relay in front of 1 plain server
    When the server responds twice to its next request
    And 2 callers fetch one after the other
    Then each caller got its own response

  Scenario: A response without the server's stamp is not forwarded
    Given a relay in front of 1 plain server
    When the server omits its stamp from its next response
    And a caller sends a report
    Then the caller gets status 502

  Scenario: A request that a server did not run is reported as not run
    A server reports that it was full and ran nothing. The request may not be
    sent twice, so the caller gets "not run" and when to retry.

    Given a relay in front of 1 plain server
    When the server sheds its next request
    And a caller sends a report
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: A request that may have run is not called "not run"
    Given a relay in front of 2 plain servers
    When every server resets the connection of its next request
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: A fetch that failed at one server is served by another
    Given a relay in front of 2 plain servers
    When the first server that gets a request fails it
    And a caller fetches
    Then the caller gets status 200

  Scenario: Servers that accept no connection cost no caller its response
    A server refuses connections three times, which opens its breaker. Attempts
    that were in progress then end as failures too. Each caller still gets a
    response from the server that runs. Guards against an error raised where an
    attempt reported its outcome to a breaker of a later generation; its
    caller's connection was closed without a response.

    Given a relay in front of 2 plain servers
    When one server stops
    And 12 callers fetch concurrently
    Then every caller gets status 200

  Scenario: Callers immediately get an error if there is no server
    Given a relay in front of 1 plain server
    When one server stops
    And a caller fetches
    Then the caller gets status 503 and when to retry

  Scenario: A request is cancelled when its caller disconnects
    A caller closes its connection while a server runs its request. The
    connection to the server is closed immediately, so it cancels the request.

    Given a relay in front of 1 model server
    When the server hangs on its next request
    And a caller disconnects after it has requested a stream
    Then the server detects that within 0.5 seconds

  Scenario: Nothing is sent for a caller whose disconnect is unread
    A crowded entry's event loop is late. A request and the end of its
    connection wait in the kernel together. Served as soon as it was read, the
    request reached a server, which ran it for a caller that had disconnected
    long before.

    Given a relay in front of 1 plain server
    When 2 callers that have fetched stay connected
    And the first of them fetches and disconnects before the event loop runs
    Then the servers got 2 requests

  Scenario: Nothing is sent for a disconnect read in the same iteration
    The event loop of a crowded entry reads the end of a connection and closes
    it; the request is cancelled in the next iteration, seconds later. In the
    rest of this iteration it would be sent all the same.

    Given a relay in front of 1 plain server
    When a caller's disconnect is read in the iteration that would send its request
    Then the servers got 0 requests

  Scenario: A caller gets a response at its time-out
    Given a relay in front of 1 model server with a time-out of 0.3 seconds
    When the server hangs on its next request
    And a caller requests a stream that may run once
    Then the caller gets status 504 within 0.6 seconds

  Scenario: A revoked key runs nothing, also for a request that waits
    Given a relay in front of 1 model server
    When the key is revoked
    And a caller requests a stream that may run once
    Then the caller gets status 401
    And the servers got 0 requests

  Scenario Outline: With <keys> in the configuration, a request with <key> gets <status>
    Guards against a deployment that is open to everybody once its last key is
    taken away.

    Given a relay in front of 1 model server
    When the configuration has <keys>
    And a caller requests a stream with <key>
    Then the caller gets status <status>

    Examples:
      | keys           | key          | status |
      | no key left    | a former key | 401    |
      | no key left    | no key       | 401    |
      | no key left    | an empty key | 401    |
      | an empty key   | an empty key | 401    |
      | an empty key   | no key       | 401    |
      | another key    | a former key | 401    |
      | no workspaces  | no key       | 200    |
      | no workspaces  | a former key | 200    |

  Scenario Outline: <change> while a request with <key> connects
    Guards against requests that are sent as an older configuration allows, or
    that are charged to a workspace which no longer holds their key.

    Given a relay in front of 1 model server
    When <change> while a caller requests a stream with <key>
    Then the caller gets status <status>
    And the servers got <count> requests

    Examples:
      | change                        | key          | status | count |
      | keys are introduced           | no key       | 401    | 0     |
      | an anonymous route takes keys | no key       | 401    | 0     |
      | the key gets another owner    | a former key | 503    | 0     |
      | the key is taken away         | a former key | 401    | 0     |
      | all keys are taken away       | a former key | 401    | 0     |
      | nothing of it changes         | a former key | 200    | 1     |

  Scenario: With a view that can't be confirmed no keyed request runs
    The entry is disconnected from the store. A key may have been revoked in
    that time, so past the limit keyed requests are refused; anonymous ones are
    still served.

    Given a relay in front of 1 model server and 1 plain server
    When the view is 4.5 seconds old
    Then a keyed request gets status 503 and an anonymous one 200

  Scenario: Simultaneous requests are spread over plain servers
    Eight callers send requests at the same time, before any is forwarded. If
    they were counted only when sent, all servers would look idle to each, and
    all would go to the same one.

    Given a relay in front of 4 plain servers
    When 8 callers fetch concurrently
    Then no server got more than 3 requests

  Scenario: A draining server gets nothing new
    Given a relay in front of 2 plain servers
    When the first server is listed as leaving
    And 6 callers fetch concurrently
    Then the first server got 0 requests

  Scenario: A server kept over an outage is dropped in time, without changes
    The store is back after an outage; a server's record is removed just then,
    so it is kept for a short time. Nothing else changes, and no response of the
    store arrives for seconds. The server must not be kept until one does.

    Given a relay in front of 2 plain servers
    When the store was unreachable and the first server is removed
    And 1.8 seconds pass
    Then 1 server may get requests

  Scenario: Reserved headers of a caller are not forwarded
    A caller sends the headers by which the system reserves KV cache, names a
    workspace or continues from another request's KV cache.

    Given a relay in front of 1 plain server
    When a caller fetches with reserved headers
    Then the server got none of them

  Scenario: A request smuggled in another one's body is not run
    Given a relay in front of 1 plain server
    When a caller smuggles a request behind two lengths
    Then the caller gets status 400
    And the servers got 0 requests

  Scenario: Pipelined requests get their responses in order
    Given a relay in front of 1 plain server
    When a caller pipelines 3 requests on one connection
    Then it gets 3 responses in order

  Scenario: More callers than descriptors evict idle connections, not requests
    A failure domain returns after a power loss; all callers connect at the same
    time. Idle connections are closed, the longest idle first, so that the new
    ones are served and the entry does not run out of descriptors.

    Given a relay in front of 1 plain server that may hold 40 descriptors
    When 30 callers fetch one after the other and stay connected
    And 1 callers fetch concurrently
    Then every caller gets status 200
    And the entry has at most 18 connections

  Scenario: More requests than fit in memory are refused immediately
    One instance gets most of the callers. If it accepted all requests, they
    would fill its memory, it would be killed, and all of them be lost.

    Given a relay in front of 1 plain server with memory for 3 requests
    When every server hangs on its next 3 requests
    And 5 callers send reports concurrently, and the first 3 disconnect
    Then 2 of them get status 503 and when to retry

  Scenario: An entry with a late event loop accepts nothing until it recovers
    Given a relay in front of 1 plain server
    When the event loop was 1 second late
    And a caller fetches
    Then the caller gets status 503 and when to retry
    And the entry reports that it is not ready
    When the event loop was on time for a while
    And a caller fetches
    Then the caller gets status 200

  Scenario: A draining entry interrupts nothing
    A signal to stop arrives while a stream runs. The entry stops only when the
    response is delivered.

    Given a relay in front of 1 model server
    When the entry is stopped while a caller reads a stream
    Then the caller receives all events once and the end

  Scenario: A request long after the signal to stop is refused immediately
    The caller of a persistent connection sends a request seconds after the
    signal, which would outlast the grace period and be interrupted. The caller
    gets "not run", when to retry, and that the connection closes.

    Given a relay in front of 1 model server
    When the server hangs on its next request
    And the entry is stopped and 2.7 seconds later a caller sends a request
    Then the caller gets status 503 and when to retry
    And the servers got 1 request

  Scenario: Callers that connect just before an entry stops get a response
    Guards against connections that are reset with their requests unread: the
    callers connected while the event loop was late and the entry about to stop.

    Given a relay in front of 1 plain server
    When 8 callers connect and send requests while the loop is late and the entry stops
    Then all of them get status 503 and when to retry

  Scenario: A response in progress at a stop is not followed by a silent close
    Guards against a next request that crosses the close: the response began
    before the signal and did not announce that its connection closes.

    Given a relay in front of 1 model server
    When the entry is stopped in a stream, and its caller requests another one
    Then the caller receives both streams, and only the second closes the connection

  Scenario: An entry stops only when its callers have their responses
    A caller reads a long response slowly. Guards against a response that is
    truncated by the end of the process, which still held the rest of it.

    Given a relay in front of 1 plain server
    When the entry is stopped while a caller has 3.2 seconds to read a long response
    Then nothing of the response is left in the entry when it has stopped

  Scenario: An entry whose caller does not read stops before it is killed
    Given a relay in front of 1 plain server
    When the entry is stopped while a caller has 9 seconds to read a long response
    Then it has stopped within 3.8 seconds

  Scenario: A HEAD request gets an immediate response
    The response to a HEAD request states the length of a body that does not
    follow. Waiting for it would delay the caller until the time-out.

    Given a relay in front of 1 plain server
    When a caller sends a HEAD request
    Then the caller gets status 200
    And it took less than 1 second

  Scenario: Idle connections beyond what an entry may keep are closed
    A server accepts 12 connections from all entries together, and resets those
    beyond. An entry that was busy keeps no more than half of them.

    Given a relay in front of 1 plain server that accepts 12 connections
    When 8 callers fetch simultaneously and succeed
    Then the entry keeps at most 6 connections to the server

  Scenario: No state of a removed server is kept
    A request ends after its server was removed from the list. The state of the
    server would be kept for as long as the process runs, for each of the 500
    that are replaced on a day.

    Given a relay in front of 1 plain server
    When a caller fetches
    And no server is listed any more, and state of it is created late
    And the list changes again
    Then the entry has no state of any server

  Scenario: A connection whose request waits unread is not closed as idle
    An entry with a late event loop has more connections than it may have and
    closes those that were idle longest. The caller of one has just sent a
    request, which is still unread. A connection closed with unread bytes is
    reset, and the caller gets no response.

    Given a relay in front of 1 plain server
    When 2 callers that have fetched stay connected
    And the first of them fetches while the entry closes idle connections
    Then the first gets its response, and the second's connection is closed

  Scenario: Breakers are ignored when most of them are open
    All servers fail some of their requests. Those whose breakers happen to be
    closed would get the requests of all and refuse them beside idle servers.

    Given a relay in front of 4 plain servers
    When the breakers of 3 servers are open
    Then 4 servers may be sent a request
    When the breaker of 1 of them has closed again
    Then 2 servers may be sent a request

  Scenario: A server at whose address another one responds gets nothing more
    Given a relay in front of 2 plain servers
    When the first server responds that it is another one
    And 6 callers fetch one after the other
    Then the first server got 1 requests

  Scenario: An idle connection does not keep its last prompt
    A thousand callers stay connected between their requests. With the last
    prompt of each an instance of 150 MB ran out of memory.

    Given a relay in front of 1 plain server
    When 2 callers that have fetched stay connected
    Then no connection keeps a request
