Feature: Recent service of each workspace

  Scenario: The sum over entries equals that of their reports
    Reports of entries come late, twice and out of order, with grants between
    them. All of it decays. The side keeps one sum for each workspace.
    Then over random reports and grants each sum is that of the entries' counts

  Scenario: An outdated report takes nothing back
    Given entry "a" has reported 1000 tokens of "tuna"
    When entry "a" reports 400 tokens of "tuna"
    Then "tuna" has received 1000 tokens
    When entry "b" reports 400 tokens of "tuna"
    Then "tuna" has received 1400 tokens

  Scenario: Service decays by half in four seconds
    Given entry "a" has reported 1000 tokens of "tuna"
    When 4 seconds pass
    Then "tuna" has received 500 tokens

  Scenario: Workspaces that were not served recently are dropped
    Many workspaces come and go: a process would otherwise keep all of them.
    When 30000 names are served, and 60 seconds later 30000 others
    Then 30000 names are kept

  Scenario: Many recently served workspaces do not make every change slow
    Given 40000 names that were served just now
    When 1000 more are served
    Then all names were iterated over at most 2 times
