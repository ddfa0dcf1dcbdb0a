Feature: The feed of the catalogue from the platform

  Background:
    Given a platform with workspace "pilot" and an instance that follows it

  Scenario: A change becomes active after one watch, without a second list
    When workspace "pilot" is given to "second"
    Then workspace "pilot" becomes active with owner "second"
    And the feed has listed 1 time

  Scenario: A change is made after an outage of the platform
    The configuration does not change during the outage. The delay between two
    attempts is bounded, so the change becomes active soon after the end.
    When the platform becomes unavailable and 3 calls have failed
    Then workspace "pilot" stays active with owner "first"
    When the platform is available again and workspace "pilot" is given to "second"
    Then workspace "pilot" becomes active with owner "second"
    And the feed has listed 1 time

  Scenario: The platform has discarded the revision that the watch resumes from
    The instance could not watch while much was written. Only a new list returns
    the changes that it missed, and the deletion that took place during that time.
    When the platform becomes unavailable and 1 calls have failed
    And during that time workspace "pilot" is deleted and 50 others are written
    Then 50 workspaces become active and "pilot" is removed
    And the feed has listed 2 times

  Scenario Outline: Watches that <fault>
    When the watches <fault>
    And workspace "pilot" is given to "second"
    And workspace "pilot" is given to "third"
    Then workspace "pilot" becomes active with owner "third"
    And no owner became active twice

    Examples:
      | fault        |
      | lag          |
      | repeat       |
      | break        |
      | always break |

  Scenario: Watches that repeat known changes do not form an endless loop
    When the watches repeat known changes without delay
    Then less than 20 watches are made in 0.5 seconds

  Scenario: The delay between two attempts grows to a bound
    When a call fails 50 consecutive times with 200 seeds
    Then no delay is longer than 1 second and the first is at most 0.1 seconds
    And a throttled call waits at least the requested delay but at most 2 seconds
