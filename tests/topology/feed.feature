Feature: Feed of one kind of objects

  Scenario: A change arrives through a watch
    Given a feed on a store with object a
    When object b is written
    Then the listener has a and b

  Scenario: Objects are listed again immediately when the history was dropped
    A watch call fails because the store dropped its history. If the feed went
    on from the store's revision, a change made during that time would never be
    in effect.

    Given a feed on a store with object a
    When object b is written and the history dropped at the same time
    Then the listener has a and b

  Scenario Outline: A fault of the listener does not end the feed: <fault>
    Guards against a view that is never updated again, because an object was
    handled with an unexpected error.

    Given a feed on a store with object a
    And a listener that fails once when <fault>
    When object b is written
    Then the listener has a and b
    And the log has one fault

    Examples:
      | fault                |
      | everything is listed |
      | an object changes    |

  Scenario: An outage and its end are logged once each
    Given a feed on a store with object a
    When the store does not respond to 4 calls
    Then the log has one loss and one return
    And the listener has a

  Scenario: Only responses confirm the view
    Given a feed on a store with object a
    When the store does not respond to 4 calls
    Then nothing was confirmed during the outage
