Feature: Servers that restart under the same id

  Scenario: All state of the former start is dropped
    A server that caches a shared prefix, and whose breaker is open, restarts
    under the same id. With the former prefix index it would get prompts as if
    it had cached their prefix; with the former breaker it would stay idle; a
    pooled connection to the former start would lose a request.

    Given a relay in front of 1 model server
    And every server is listed with start 900 and revision 20
    And the first server caches prefix p7, is loaded, and its breaker is open
    When every server is listed with start 400 and revision 30
    Then the entry has no state of the former start

  Scenario: A late report about the former start changes nothing
    Given a relay in front of 1 model server
    And every server is listed with start 900 and revision 20
    And the first server caches prefix p7, is loaded, and its breaker is open
    When every server is listed with start 950 and revision 12
    Then the entry has kept its state of the server

  Scenario: A side reports the restart before the list
    Given a relay in front of 1 model server
    And every server is listed with start 900 and revision 20
    And the first server caches prefix p7, is loaded, and its breaker is open
    When a side reports to the entry that the first server started at 950, revision 30
    Then the entry has no state of the former start
    When every server is listed with start 900 and revision 20
    Then the known start of the first server is 950

  Scenario: A stream continues elsewhere as soon as the new start is known
    A server becomes unreachable in the middle of a stream and restarts. No
    reset arrives; the caller would wait for seconds until the silence is
    detected.

    Given a relay in front of 2 model servers
    And every server is listed with start 900 and revision 20
    When the first server that gets a request hangs
    And a caller requests a resumable stream, and its server restarts
    Then the caller receives all events once and the end within 1 second

  Scenario: A stream goes on though a report of a start closes its connection
    Guards against a request that is written to a connection which has closed
    since, and is waited for until its server counts as silent.

    Given a relay in front of 2 model servers
    And every server is listed with start 900 and revision 20
    When the first server that gets a stream interrupts it
    And the next report of a start closes its connection
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the servers got 2 requests

  Scenario: A request that may run once has no outcome after a restart
    It may have run before the server crashed. The caller must not be told that
    it has not, and it must not run again.

    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When the server hangs on its next request
    And a caller sends a report, and its server crashes and restarts
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: A request that ran there at the crash is suspected
    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When every server resets the connections of its next 1 requests
    And a caller sends the same report 1 times
    And every server is listed with start 950 and revision 30
    Then a request is suspected

  Scenario: An outcome at the former start does not count for the later one
    Three requests fail at the former start after the new one is known. They
    must not open the breaker of the new one.

    Given a relay in front of 1 plain server
    And every server is listed with start 900 and revision 20
    When every server hangs on its next 3 requests
    And 3 callers send reports whose server crashes after its restart is listed
    Then the breaker of the first server is closed
