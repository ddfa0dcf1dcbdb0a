Feature: A fleet under random faults keeps its promises

  Scenario: Nothing is lost and no slot is taken twice
    Callers send while entries and sides are killed and started empty, links
    lose messages, are slow or cut. The invariants are checked inside the
    program. When all faults are over, each request must have been answered:
    one that a decision forgot would wait for ever.

    Then 25 drawn histories of 60 steps keep every invariant
