Feature: What each workspace was served lately

  Scenario: The sum over entries is that of what each of them told
    Words of entries come late, twice, out of order, with grants between them.
    All of it fades. The side keeps one sum for each workspace.
    Then over random words and grants each sum is that of the entries' counts

  Scenario: A word that is behind takes nothing back
    Given entry "a" told 1000 tokens of "tuna"
    When entry "a" tells 400 tokens of "tuna"
    Then "tuna" was served 1000 tokens
    When entry "b" tells 400 tokens of "tuna"
    Then "tuna" was served 1400 tokens

  Scenario: Service fades by half in four seconds
    Given entry "a" told 1000 tokens of "tuna"
    When 4 seconds pass
    Then "tuna" was served 500 tokens

  Scenario: Those that were not served lately are forgotten
    Many workspaces come and go: a process would hold all of them for ever.
    When 30000 names are served, and 60 seconds later 30000 others
    Then 30000 names are kept

  Scenario: A crowd that was served lately does not make every change slow
    Given 40000 names that were served just now
    When 1000 more are served
    Then all names were walked over at most 2 times
