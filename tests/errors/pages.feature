Feature: The docs pages on errors agree with the table of error responses

  Scenario: The callers' page has one row for each error kind
    When the table of docs/callers.md is read
    Then its codes are the error kinds in their order
    And each row has the HTTP status of its response
    And each row says "not run" exactly if its response does
    And each row has its response's default for Retry-After

  Scenario: The operators' page contains only known codes
    Then every code in the tables of docs/operators.md is an error kind
    And the failures of docs/operators.md name known codes as callers' errors

  Scenario: Every error kind has exactly one response
    Then every error kind has a response

  Scenario: Only responses to requests that did not run say "not run"
    Then no message contains "not run" if the request may have run
