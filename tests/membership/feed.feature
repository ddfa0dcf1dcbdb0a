Feature: The instances of the system

  Scenario: Instances join, leave and are removed
    Given a membership view
    When the list shows "e1 live, s1 live"
    Then the changes are "joined e1, joined s1"
    When the list shows "e1 live, s1 leaving, s2 live"
    Then the changes are "leaving s1, joined s2"
    And live are "e1, s2"
    When the list shows "e1 live, s2 live"
    Then the changes are "removed s1"

  Scenario: A leaving instance is never live again
    The list lags and its copies disagree: after one that says "leaving" an
    older one says "live". Requests sent to the instance would be interrupted
    at its end.
    Given a membership view
    When the list shows "s1 live"
    And the list shows "s1 leaving"
    And the list shows "s1 live"
    Then the changes are ""
    And live are ""
    When the list shows ""
    Then the changes are "removed s1"
    When the list shows "s1 live"
    Then the changes are ""

  Scenario: An id at another address is another process
    Given a membership view
    When the list shows "e1 live"
    And the list shows "e1 live elsewhere"
    Then the changes are "removed e1, joined e1"

  Scenario: Random lists never make a leaving instance live again
    Given 500 random sequences of lists
    Then after each list the live ones are those listed live that never left
    And the changes add up to the list

  Scenario: The last list stays in effect while the platform is down
    The polls fail, so the state of the instances is unknown. If the list were
    emptied, an entry would refuse all requests though every side still runs.
    Given a feed of a platform that lists "e1, s1"
    When the list's platform goes down and 3 polls have failed
    Then live at the feed are "e1, s1"
    And the feed has sent "joined e1, joined s1"
    When the platform is back and lists "e1" only
    Then the feed finally sends "removed s1"
