Feature: The feed of the catalogue from the platform

  Background:
    Given a platform with workspace "pilot" at a node that follows it

  Scenario: A change is in force after one watch, without a second list
    When workspace "pilot" is given to "second"
    Then "second" comes into force for "pilot"
    And the feed has listed 1 time

  Scenario: The platform is down and a change is made when it is back
    The configuration stays as it was during the outage. The pause between two
    tries is bounded, so that the change is in force soon after the end.
    When the platform goes down and 3 calls have failed
    Then "first" stays in force for "pilot"
    When the platform is back and workspace "pilot" is given to "second"
    Then "second" comes into force for "pilot"
    And the feed has listed 1 time

  Scenario: The platform forgot the revision that the watch wants to go on from
    The node could not watch while much was written; only a new list can tell
    it what it missed, and that an entry was deleted meanwhile.
    When the platform goes down and 1 calls have failed
    And workspace "pilot" is deleted and 50 others are written meanwhile
    Then 50 workspaces come into force and "pilot" is gone
    And the feed has listed 2 times

  Scenario Outline: Watches that <fault>
    When the watches <fault>
    And workspace "pilot" is given to "second"
    And workspace "pilot" is given to "third"
    Then "third" comes into force for "pilot"
    And no owner came into force twice

    Examples:
      | fault        |
      | lag          |
      | repeat       |
      | break        |
      | always break |

  Scenario: A platform that repeats old news at once is not asked without end
    When the watches repeat old news at once
    Then less than 20 watches are made in 0.5 seconds

  Scenario: The pause between two tries grows to a bound
    When a call fails 50 times in a row with 200 seeds
    Then no pause is longer than 1 second and the first is at most 0.1 seconds
    And a throttled call waits at least as long as told but at most 2 seconds
