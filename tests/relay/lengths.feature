Feature: How long answers are whose callers do not say

  A quarter of the callers tell only the most that an answer may have, four
  times what most answers do. Taken at that, an engine's memory looks full and
  its pace too slow for nearly all of them.

  Scenario: The estimates of other callers of the route count
    Given a route whose answers have 1000 tokens at the most
    When 100 callers estimate 200 to 320 tokens
    Then an answer without an estimate is taken for 230 to 280 tokens

  Scenario: A caller's own estimate is taken as it is
    Given a route whose answers have 1000 tokens at the most
    When 100 callers estimate 200 to 320 tokens
    Then an answer whose caller estimates 700 is taken for 700 tokens

  Scenario: Where nobody tells an estimate the most counts
    Given a route whose answers have 1000 tokens at the most
    Then an answer without an estimate is taken for 1000 to 1000 tokens

  Scenario: What was learned of a route goes with it
    Given a route whose answers have 1000 tokens at the most
    When 100 callers estimate 200 to 320 tokens
    And the route is configured no more
    Then an answer without an estimate is taken for 1000 to 1000 tokens
