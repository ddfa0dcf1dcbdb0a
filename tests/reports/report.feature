Feature: A page about a run

  Scenario: The page tells how requests ended
    Given the lines of a run with 5 served, 2 late and 3 refused requests
    When its report is written
    Then the page counts 5 served, 2 late and 3 not_run_deadline
    And the page has 3 pictures and needs no other file

  Scenario: The same lines draw the same page
    Given the lines of a run with 5 served, 2 late and 3 refused requests
    When its report is written twice
    Then both pages are the same

  Scenario: Waits are told by workspace
    Given the lines of a run with 5 served, 2 late and 3 refused requests
    When its lines are summarised
    Then workspace pilots has waited 0.1 seconds at the median
    And server i-1 was sent 600 tokens in the first second

  Scenario: Dropped lines are told
    Given the lines of a run whose entry dropped 7 lines
    When its report is written
    Then the page says that 7 lines were dropped

  Scenario: Lines without a request are no run
    Given the lines of a run without requests
    When its report is written
    Then the command fails and says "no line tells of the end of a request"

  Scenario: A name that looks like HTML does no harm
    Given the lines of a run whose request ended with "<script>"
    When its report is written
    Then the page has no script
