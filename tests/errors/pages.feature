Feature: The pages on errors say what the table says

  Scenario: The callers' page has one row for each error kind
    When the table of docs/callers.md is read
    Then its codes are the error kinds in their order
    And each row has the status of its answer
    And each row promises "not run" exactly where the answer does
    And each row has the answer's default for coming back

  Scenario: The operators' page speaks of known codes only
    Then every code in the tables of docs/operators.md is an error kind
    And the failures of docs/operators.md name known codes as callers' answers

  Scenario: Every kind has exactly one answer
    Then every error kind has an answer

  Scenario: An answer that says "not run" is marked so, and no other
    Then the words "not run" stand in no message of an answer that may have run
