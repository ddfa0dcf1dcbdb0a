Feature: One request through the relay

  Scenario: A stream goes on at another server without a missing piece
    A caller reads a stream. Its server dies in the middle of an event. The
    relay asks another server to go on after the last whole event. The caller
    sees every event once, in order, and one end.

    Given a relay before 2 model servers
    When every server cuts its first stream but one
    And a caller asks for a resumable stream
    Then the caller has all events once and the end

  Scenario: A stream that may not be resumed is cut, and never looks complete
    A caller reads a stream that may run once. Its server dies half way. A
    second run could answer differently, so the caller's connection ends
    without the end of the stream.

    Given a relay before 2 model servers
    When every server cuts its next stream
    And a caller asks for a stream that may run once
    Then the caller's answer is cut
    And the servers got 1 request

  Scenario: An answer to another request reaches nobody
    A server sends a late answer where the next one is due. Passed on, a
    caller would read what another one asked for.

    Given a relay before 2 plain servers
    When every server answers its next request for another caller
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: A second answer spoils the connection
    A server sends bytes after a whole answer. The connection is closed, so
    that the next caller doesn't read them as its answer.

    Given a relay before 1 plain server
    When the server answers its next request twice
    And 2 callers fetch one after the other
    Then each caller got its own answer

  Scenario: An answer without a signature is not passed on
    Given a relay before 1 plain server
    When the server answers its next request without a signature
    And a caller sends a report
    Then the caller gets status 502

  Scenario: A request that a server did not run is refused truthfully
    A server says that it was full and ran nothing. The request may not be
    sent twice, so the caller is told "not run" and when to come back.

    Given a relay before 1 plain server
    When the server sheds its next request
    And a caller sends a report
    Then the caller gets status 503 and when to come back
    And the servers got 1 request

  Scenario: A request that may have run is not called "not run"
    Given a relay before 2 plain servers
    When every server resets its next request
    And a caller sends a report
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: A fetch that failed at one server is served by another
    Given a relay before 2 plain servers
    When every server fails its first request but one
    And a caller fetches
    Then the caller gets status 200

  Scenario: Servers that take no connection cost no caller its answer
    A server refuses connections three times, which opens its breaker. Sends
    that were under way then end as failures too. Each caller still gets an
    answer from the server that lives; a send that reports its end to a
    breaker of a later generation once raised an error there, and its
    caller's connection was closed without an answer.

    Given a relay before 2 plain servers
    When one server goes down
    And 12 callers fetch at once
    Then every caller gets status 200

  Scenario: No server at all is told at once
    Given a relay before 1 plain server
    When one server goes down
    And a caller fetches
    Then the caller gets status 503 and when to come back

  Scenario: Work stops when its caller leaves
    A caller closes its connection while a server works. The server's
    connection is closed at once, which makes it drop the request.

    Given a relay before 1 model server
    When the server hangs on its next request
    And a caller leaves after it has asked for a stream
    Then the server is told within 0.5 seconds

  Scenario: Nothing is sent for a caller whose end has not been read yet
    A crowded entry's loop is late. A request and the end of its connection
    wait in the kernel together. Served as soon as it was read, the request
    reached a server, which worked for a caller that had left long before.

    Given a relay before 1 plain server
    When 2 callers that have fetched stay connected
    And the first of them fetches and leaves before the loop has its turn
    Then the servers got 2 requests

  Scenario: Nothing is sent for a caller whose end was read in the same turn
    The loop of a crowded entry reads the end of a connection and closes it; the
    request is cancelled in the loop's next turn, seconds later. In the rest of
    this one it would be sent all the same.

    Given a relay before 1 plain server
    When a caller's end is read in the turn in which its request would be sent
    Then the servers got 0 requests

  Scenario: A request is answered at its time-out
    Given a relay before 1 model server with a time-out of 0.3 seconds
    When the server hangs on its next request
    And a caller asks for a stream that may run once
    Then the caller gets status 504 within 0.6 seconds

  Scenario: A revoked key runs nothing, also for a request that waits
    Given a relay before 1 model server
    When the key is taken away
    And a caller asks for a stream that may run once
    Then the caller gets status 401
    And the servers got 0 requests

  Scenario: A view that can't be confirmed runs no keyed work
    The entry is cut from the store. A key may have been revoked meanwhile,
    so past the bound keyed requests are refused; anonymous ones go on.

    Given a relay before 1 model server and 1 plain server
    When the view is 4.5 seconds old
    Then a keyed request gets status 503 and an anonymous one 200

  Scenario: Requests of one moment are spread over plain servers
    Eight callers ask in the same moment, before any request is on its way.
    Counted only when sent, each would see the servers idle and all would go
    to the same one.

    Given a relay before 4 plain servers
    When 8 callers fetch at once
    Then no server got more than 3 requests

  Scenario: A leaving server gets nothing new
    Given a relay before 2 plain servers
    When the first server is listed as leaving
    And 6 callers fetch at once
    Then the first server got 0 requests

  Scenario: A server kept over an outage is dropped in time, in a quiet store
    The store is back after an outage; a server's entry is removed just then,
    so it is kept for a moment. Nothing else changes, and no answer of the
    store comes for seconds. The server must not be kept until one does.

    Given a relay before 2 plain servers
    When the store was away and the first server vanishes
    And 1.8 seconds pass
    Then 1 server takes work

  Scenario: What a caller may not set is not handed on
    A caller sends the headers by which the system reserves memory, names a
    workspace or goes on from another request's memory.

    Given a relay before 1 plain server
    When a caller fetches with headers that are the system's to set
    Then the server got none of them

  Scenario: A request hidden in another one's body is not run
    Given a relay before 1 plain server
    When a caller hides a request behind two lengths
    Then the caller gets status 400
    And the servers got 0 requests

  Scenario: Requests sent ahead are answered in their order
    Given a relay before 1 plain server
    When a caller sends 3 requests ahead on one connection
    Then it gets 3 answers in order

  Scenario: More callers than descriptors push out idle ones, not requests
    A zone comes back after a loss of power; every caller connects at once.
    Connections that idle are closed, longest idle first, so that the new
    ones are served and nothing runs out of descriptors.

    Given a relay before 1 plain server that may hold 40 descriptors
    When 30 callers fetch one after the other and stay connected
    And 1 callers fetch at once
    Then every caller gets status 200
    And the entry holds at most 18 connections

  Scenario: More requests than memory holds are refused at once
    One instance gets most of the callers. Taken on, their requests would
    fill its memory, it would be killed, and all that it held be lost.

    Given a relay before 1 plain server with memory for 3 requests
    When every server hangs on its next 3 requests
    And 5 callers send reports at once, and the first 3 leave
    Then 2 of them get status 503 and when to come back

  Scenario: A loop that is late takes nothing new until it has caught up
    Given a relay before 1 plain server
    When the loop was 1 second late
    And a caller fetches
    Then the caller gets status 503 and when to come back
    And the entry says that it is not ready
    When the loop was on time for a while
    And a caller fetches
    Then the caller gets status 200

  Scenario: A stopping entry cuts nothing
    A signal to stop comes while a stream runs. The entry stops only when the
    answer is out.

    Given a relay before 1 model server
    When the entry is stopped while a caller reads a stream
    Then the caller has all events once and the end

  Scenario: A request long after the signal to stop is refused at once
    The caller of a kept connection sends a request seconds after the signal,
    which would outlast the grace. Taken, it would be cut in the middle; it is
    told "not run", to come back at once, and that the connection ends.

    Given a relay before 1 model server
    When the server hangs on its next request
    And the entry is stopped and 2.7 seconds later a caller asks
    Then the caller gets status 503 and when to come back
    And the servers got 1 request

  Scenario: Callers that have connected as an entry ends are answered
    Guards against connections that are reset with their requests unread: the
    callers came while the loop was late and the entry was about to end.

    Given a relay before 1 plain server
    When 8 callers connect and ask while the loop is late and the entry ends
    Then all of them get status 503 and when to come back

  Scenario: An answer under way at a stop is not followed by a silent close
    Guards against a next request that crosses the close: the answer began
    before the signal and did not say that its connection ends.

    Given a relay before 1 model server
    When the entry is stopped in a stream, and its caller asks for another one
    Then the caller has both streams, and only the second one ends the connection

  Scenario: A request for the head alone is answered at once
    A HEAD request's answer tells the length of a body that does not come.
    Waiting for it would keep the caller until the time-out.

    Given a relay before 1 plain server
    When a caller asks for the head alone
    Then the caller gets status 200
    And it took less than 1 second

  Scenario: Idle connections beyond what an entry may keep are closed
    A server takes 12 connections from all entries together, and resets what
    comes beyond. An entry that was busy keeps no more than half of them.

    Given a relay before 1 plain server that takes 12 connections
    When 8 callers fetch at the same moment
    Then the entry keeps at most 6 connections to the server

  Scenario: A server that is gone leaves nothing behind
    A request ends after its server was taken from the list. What is believed
    of the server would stay for as long as the process runs, for each of the
    500 that are replaced on a day.

    Given a relay before 1 plain server
    When a caller fetches
    And no server is listed any more, and what is believed of it comes late
    And the list changes again
    Then the entry believes nothing of any server

  Scenario: A connection whose request waits unread is not closed as idle
    A late loop has more connections than it may hold and closes those that
    were idle longest. The caller of one has just sent a request, which nobody
    has read yet. Closed with unread bytes the connection is reset, and the
    caller has no answer.

    Given a relay before 1 plain server
    When 2 callers that have fetched stay connected
    And the first of them fetches while the entry makes room
    Then the first has its answer, and the second's connection is closed

  Scenario: Breakers are not heeded when most of them are open
    All servers fail part of their requests. Those whose breakers happen to be
    closed would get the work of all and refuse it beside idle ones.

    Given a relay before 4 plain servers
    When the breakers of 3 servers are open
    Then 4 servers may be sent a request
    When the breaker of 1 of them has closed again
    Then 2 servers may be sent a request

  Scenario: A server at whose address another answers gets nothing more
    Given a relay before 2 plain servers
    When the first server answers that it is another one
    And 6 callers fetch one after the other
    Then the first server got 1 requests

  Scenario: An idle connection does not hold its last prompt
    A thousand callers stay connected between their requests. With the last
    prompt of each an instance of 150 MB ran out of memory.

    Given a relay before 1 plain server
    When 2 callers that have fetched stay connected
    Then no connection holds a call
