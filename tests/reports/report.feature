Feature: Report of a run

  Scenario: The page counts requests by outcome
    Given the log lines of a run with 5 served, 2 late and 3 refused requests
    When its report is written
    Then the page counts 5 served, 2 late and 3 not_run_deadline
    And the page has 3 images and needs no other file

  Scenario: The same lines give the same page
    Given the log lines of a run with 5 served, 2 late and 3 refused requests
    When its report is written twice
    Then both pages are the same

  Scenario: Wait times are summarised by workspace
    Given the log lines of a run with 5 served, 2 late and 3 refused requests
    When its lines are summarised
    Then the median wait of workspace pilots is 0.1 seconds
    And 600 tokens were sent to server i-1 in the first second

  Scenario: Dropped lines are reported
    Given the log lines of a run whose entry dropped 7 lines
    When its report is written
    Then the page reports 7 dropped lines

  Scenario: Lines without a finished request are an error
    Given the log lines of a run without requests
    When its report is written
    Then the command fails with "no log line has the end of a request"

  Scenario: HTML in a reason is escaped
    Given the log lines of a run whose request ended with "<script>"
    When its report is written
    Then the page has no script
