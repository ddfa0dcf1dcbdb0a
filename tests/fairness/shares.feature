Feature: Fair shares in a small fleet

  Scenario: The gap is far smaller than first come, first served
    When one seed of chart-api runs with the product's policy
    And the same seed runs first come, first served
    Then the product's gap is at most 3 largest requests
    And the product's gap is less than a third of the other

  Scenario: No slot idles while requests wait
    When one seed of chart-api runs with the product's policy
    Then at most 1 percent of slot-time idles while requests wait
