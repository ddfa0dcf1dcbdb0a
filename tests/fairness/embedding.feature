Feature: The example of docs/embedding.md

  Scenario: The example runs
    Then the code of docs/embedding.md prints what the page says
