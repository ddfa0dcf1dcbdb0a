Feature: Workspaces that come through one entry and through many

  Figures: 20 entries, 40 engines that prefill 90,000 tokens a second, prompts
  of 20,000 tokens; two workspaces each request all that the engines can
  prefill, beside 200 small ones. The wide workspace comes through all entries,
  the narrow one through one.

  Scenario: Entries report only the workspace that they request a permit for
    An entry requests a permit for the wide workspace from one side every four
    seconds. The side doesn't count what the entry had served during that time,
    so the wide workspace is served far beyond its half.
    When entries report 0 other workspaces with each request
    Then the wide workspace receives more than 1.5 times what the narrow one receives

  Scenario: Entries report the workspaces that they had served
    The same load. Each request reports the workspaces that its entry had served
    since its last request to that side.
    When entries report as many other workspaces as the product does
    Then the wide workspace receives less than 1.25 times what the narrow one receives
    And the small workspaces receive at least 0.95 of what they request
