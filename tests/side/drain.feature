Feature: A side drains

  Scenario: Running streams finish while new orders are refused
    The side is told to stop while an answer streams. Entries hear at once
    that it drains; an order that is already on its way is refused as not
    started; the running answer arrives whole; only then the side closes.
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When an order for "/gated" has brought its first piece
    Then the entry hears a load with 1 free slots
    When the side begins to drain
    Then the entry hears that the side drains
    When another order for "/echo" brings "too late"
    Then the order is refused with status 409 for "draining"
    And the side has not ended
    And the backend server's last piece follows once it comes
    And the side has ended

  Scenario: A drain is bounded
    A request runs longer than the grace period. It is cut off, its answer
    looks broken, and the process can end.
    Given a side that drains for 0.3 seconds
    When an order for "/gated" has brought its first piece
    And the side begins to drain
    Then the side has ended
    And the rest of the answer is broken
