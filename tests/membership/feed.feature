Feature: Which instances there are

  Scenario: Instances join, leave and go
    Given a membership view
    When the list shows "e1 live, s1 live"
    Then the changes are "joined e1, joined s1"
    When the list shows "e1 live, s1 leaving, s2 live"
    Then the changes are "leaving s1, joined s2"
    And live are "e1, s2"
    When the list shows "e1 live, s2 live"
    Then the changes are "gone s1"

  Scenario: A leaving instance is never live again
    The list lags and its copies disagree: after one that says "leaving" an
    older one says "live". Work sent there would be cut off when it ends.
    Given a membership view
    When the list shows "s1 live"
    And the list shows "s1 leaving"
    And the list shows "s1 live"
    Then the changes are ""
    And live are ""
    When the list shows ""
    Then the changes are "gone s1"
    When the list shows "s1 live"
    Then the changes are ""

  Scenario: An id at another address is another process
    Given a membership view
    When the list shows "e1 live"
    And the list shows "e1 live elsewhere"
    Then the changes are "gone e1, joined e1"

  Scenario: Random lists never bring a leaving instance back
    Given 500 random sequences of lists
    Then after each list the live ones are those listed live that never left
    And the changes add up to the list

  Scenario: The platform is down and the last list stays
    The poll fails, so nobody can tell who is there. Were the list emptied,
    an entry would refuse all work though every side still runs.
    Given a feed of a platform that lists "e1, s1"
    When the list's platform goes down and 3 polls have failed
    Then live at the feed are "e1, s1"
    And the feed told "joined e1, joined s1"
    When the platform is back and lists "e1" only
    Then the feed tells "gone s1" in the end
