Feature: Writing event lines never blocks

  Scenario: A stopped reader blocks no write
    The reader of standard output hangs. Lines wait in a bounded buffer;
    no write blocks, and dropped lines are counted.

    Given a log whose reader has stopped
    When 20000 lines are written
    Then no write took longer than 0.05 seconds
    And the number of buffered lines is limited

  Scenario: Long lines for a stopped reader take bounded memory
    Callers choose the ids in a line. Guards against a buffer that is limited in
    lines and grows with their length.

    Given a log whose reader has stopped
    When 2000 lines of 8000 bytes are written
    Then the buffered lines have 1.1 MB at most

  Scenario: Dropped lines are reported when the reader resumes
    Given a log whose reader has stopped
    When 20000 lines are written
    And the reader resumes
    Then a line reports how many lines were dropped
    And every line received is complete

  Scenario: Lines about failed requests take precedence when the buffer is full
    Given a log whose reader has stopped
    When 20000 lines are written
    And a line about a request with status 502 is written
    And the reader resumes
    Then the line about status 502 is received

  Scenario: A closed reader causes no error
    Given a log whose reader has stopped
    When the reader closes its end
    Then writing continues without an error

  Scenario: The operations page lists every kind of line
    Then docs/OPERATIONS.md has a row for each kind of line and no other
