Feature: engines are ordered to load models under a lease

  Scenario: a change of the catalogue is ordered once, and idle sides call nobody
    Given an engine that checks fencing numbers, its side and an entry
    When the pool names one more model
    Then the engine is ordered once to load it
    And callers can use the new model
    When 5 s pass without a change
    Then the side has made 2 calls on the platform
    When the pool names yet another model
    Then the engine is ordered once more, with a greater number

  Scenario: the reply of the write that acquires the lease is lost
    The write takes effect and the connection is cut. The side reads back its
    own term and orders under the number that stands there.
    Given an engine that ignores fencing numbers, its side and an entry
    When the platform loses the next reply to a write
    And the pool names one more model, written before
    Then the engine is ordered once to load it
    And the number is the version of the lease

  Scenario: during an outage requests go on and the order waits
    Given an engine that checks fencing numbers, its side and an entry
    When the side is cut off from the platform
    And the pool names one more model
    Then callers are answered while the engine has no order
    When the side reaches the platform again
    Then the engine is ordered once to load it

  Scenario Outline: a frozen holder thaws after a successor has ordered
    The first side holds the lease and is frozen before its order leaves. A
    second side of the same engine takes over and orders. When the first is
    thawed, it must not order under its old lease.
    Given an engine that <kind> fencing numbers, its side and an entry
    And the way of the side's orders is slow
    When the pool names one more model
    And the side holds the lease
    And the side is frozen
    And a second side of the engine starts
    Then the engine is ordered once to load it
    When the side is thawed
    And 5 s pass without a change
    Then the engine still has 1 order, under the second side's number

    Examples:
      | kind    |
      | checks  |
      | ignores |

  Scenario: an order held up on its way arrives after the successor's
    The first side has sent its order when it is frozen, with the bytes held
    up on the way. They arrive after the second side's order: the engine, which
    checks, refuses the old number.
    Given an engine that checks fencing numbers, its side and an entry
    And the way of the side's orders is slow
    When the pool names one more model
    And the side holds the lease
    And its order is on the way, where bytes are held up
    And the side is frozen
    And a second side of the engine starts
    Then the engine is ordered once to load it
    When the way lets the bytes go on
    And 3 s pass without a change
    Then the engine still has 1 order, under the second side's number

  Scenario Outline: two sides of one engine that <kind>
    Given an engine that <kind> fencing numbers, its side and an entry
    And a second side of the engine
    When the pool names one more model
    And 3 s pass without a change
    Then the numbers of the engine's orders never fall
    And callers can use the new model

    Examples:
      | kind    |
      | checks  |
      | ignores |
