Feature: Servers that start again under their id

  Scenario: Nothing is believed any more of the former start
    A server that holds a shared part, and whose breaker is open, starts again
    under its id. With its old holdings it would get prompts as if it had read
    them; with its old breaker it would stand idle; a kept connection to the
    former start would lose a request.

    Given a relay before 1 model server
    And every server is listed with start 900 and revision 20
    And the first server holds part p7, is loaded, and its breaker is open
    When every server is listed with start 400 and revision 30
    Then the entry believes nothing of the former start

  Scenario: A late word about the former start changes nothing
    Given a relay before 1 model server
    And every server is listed with start 900 and revision 20
    And the first server holds part p7, is loaded, and its breaker is open
    When every server is listed with start 950 and revision 12
    Then the entry believes what it did

  Scenario: A side tells it before the list
    Given a relay before 1 model server
    And every server is listed with start 900 and revision 20
    And the first server holds part p7, is loaded, and its breaker is open
    When a side tells the entry that the first server started at 950, revision 30
    Then the entry believes nothing of the former start
    When every server is listed with start 900 and revision 20
    Then the first server is known by its start at 950

  Scenario: A stream goes on elsewhere as soon as the new start is known
    A server goes dark in the middle of a stream and starts again. No reset
    comes; the caller would wait for seconds until silence is noticed.

    Given a relay before 2 model servers
    And every server is listed with start 900 and revision 20
    When every server hangs on its first request but one
    And a caller asks for a resumable stream, and its server starts anew
    Then the caller has all events once and the end within 1 second

  Scenario: What may run once and was sent to the former start has no outcome
    It may have run before the server went down. The caller must not be told
    that it has not, and it must not run again.

    Given a relay before 1 plain server
    And every server is listed with start 900 and revision 20
    When the server hangs on its next request
    And a caller sends a report, and its server goes down and starts anew
    Then the caller gets status 502
    And the servers got 1 request

  Scenario: What ran there when it went down is suspected
    Given a relay before 1 plain server
    And every server is listed with start 900 and revision 20
    When every server resets its next 1 requests
    And a caller sends the same report 1 times
    And every server is listed with start 950 and revision 30
    Then a request is suspected

  Scenario: An answer to the former start teaches nothing of the later one
    Three requests fail at the former start after the new one is known. They
    must not open the breaker of the new one.

    Given a relay before 1 plain server
    And every server is listed with start 900 and revision 20
    When every server hangs on its next 3 requests
    And 3 callers send reports whose server goes down after it is listed anew
    Then the breaker of the first server is closed
