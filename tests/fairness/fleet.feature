Feature: A fleet under random faults keeps its invariants

  Scenario: No request is lost and no slot is used twice
    Callers send requests while entries and sides are killed and started empty;
    links lose messages, are slow or are cut. The invariants are checked inside
    the program. After all faults are over, each request must have got a
    response: one that a decision forgot would wait indefinitely.

    Then 25 random histories of 60 steps keep every invariant
