Feature: Expected output lengths of requests without an estimate

  A quarter of the callers state only the maximum output length, four times the
  length of most outputs. If that were expected, an engine's KV cache would look
  full and its prefill too slow for nearly all of them.

  Scenario: The estimates of other callers of the route count
    Given a route whose outputs have at most 1000 tokens
    When 100 callers estimate 200 to 320 tokens
    Then an output without an estimate is expected to have 230 to 280 tokens

  Scenario: A caller's own estimate is used as it is
    Given a route whose outputs have at most 1000 tokens
    When 100 callers estimate 200 to 320 tokens
    Then an output whose caller estimates 700 is expected to have 700 tokens

  Scenario: Without any estimate the maximum counts
    Given a route whose outputs have at most 1000 tokens
    Then an output without an estimate is expected to have 1000 to 1000 tokens

  Scenario: The estimates of a removed route are forgotten
    Given a route whose outputs have at most 1000 tokens
    When 100 callers estimate 200 to 320 tokens
    And the route is removed from the configuration
    Then an output without an estimate is expected to have 1000 to 1000 tokens
