Feature: Lines that never wait for their reader

  Scenario: A reader that stops delays nobody
    The reader of standard output hangs. Lines wait in a bounded buffer;
    no write blocks, and what is dropped is counted.

    Given a log whose reader has stopped
    When 20000 lines are written
    Then no write took longer than 0.05 seconds
    And the memory of waiting lines is bounded

  Scenario: What was dropped is told when the reader goes on
    Given a log whose reader has stopped
    When 20000 lines are written
    And the reader goes on
    Then a line tells how many lines were dropped
    And every line that came is whole

  Scenario: Lines about failed requests are kept before good ones
    Given a log whose reader has stopped
    When 20000 lines are written
    And a line about a request with status 502 is written
    And the reader goes on
    Then the line about status 502 is there

  Scenario: A reader that is gone is no fault
    Given a log whose reader has stopped
    When the reader closes its end
    Then writing goes on without an error

  Scenario: The page lists every kind of line
    Then docs/OPERATIONS.md has a row for each kind of line and no other
