Feature: The decisions equal a textbook fair queue

  Scenario: One entry, one side with one slot, exact costs
    A naive queue serves the workspace that received least per weight, among
    equals the one that waits longest. Many drawn loads must be served in the
    same order by the product's entry and side.

    Then 200 drawn loads are served in the same order by both
