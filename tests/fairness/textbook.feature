Feature: The decisions equal those of a textbook fair queue

  Scenario: One entry, one side with one slot, exact costs
    A naive queue serves the workspace that received least per weight, among
    equals the one that waits longest. For many random loads, the product's
    entry and side must serve the requests in the same order.

    Then 200 random loads are served in the same order by both
