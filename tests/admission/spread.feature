Feature: Workspaces that come through one entry and through many

  Figures: 20 entries, 40 engines that read 90,000 tokens a second, prompts of
  20,000 tokens; two workspaces each ask for all that the engines read, beside
  200 small ones.

  Scenario: Entries that tell only of whom they ask for
    An entry asks a side for the wide workspace every four seconds. What it
    had served meanwhile is not believed, so it is served far beyond its half.
    When entries tell of 0 others with each question
    Then the wide one gets more than 1.5 times what the narrow one gets

  Scenario: Entries that tell whom they had served
    The same crowd. Each question tells whom its entry had served since it
    last asked there.
    When entries tell of as many others as the product does
    Then the wide one gets less than 1.25 times what the narrow one gets
    And the small ones get at least 0.95 of what they ask for
