Feature: Following one kind of objects

  Scenario: A change comes through a watch
    Given a feed on a store with object a
    When object b is written
    Then the follower has a and b

  Scenario: Forgotten history is listed again at once
    A watch is told that its history is gone. Were the feed to go on from the
    store's revision, a change made meanwhile would never be in force.

    Given a feed on a store with object a
    When object b is written and the history forgotten in the same moment
    Then the follower has a and b

  Scenario: An outage is told once, and its end
    Given a feed on a store with object a
    When the store answers nothing for 4 calls
    Then the log tells one loss and one return
    And the follower has a

  Scenario: Only answers confirm the view
    Given a feed on a store with object a
    When the store answers nothing for 4 calls
    Then nothing was confirmed in the outage
