Feature: Turns at an engine that is cold

  An engine that has just started bears few requests a second, and crashes at a
  rate well above that. Pattern: engines come back into a crowd that has waited
  for them. Each caller sees its request accepted and then broken off; the
  engine starts anew, cold again, and never gets out of this.

  Scenario Outline: A crowd does not crash an engine that comes back
    Given an engine of 64 slots that is cold for 3 seconds and bears <bears> a second
    When a crowd of <crowd> a second asks for 5 seconds
    Then in no second of the first 3 more than <most> turns are granted
    And the engine is not left idle while cold

    Examples:
      | bears | crowd | most |
      | 10    | 60    | 12   |
      | 10    | 400   | 12   |
      | 4     | 60    | 6    |

  Scenario: What has queued up does not go at once when the engine is warm
    Given an engine of 64 slots that is cold for 3 seconds and bears 10 a second
    When a crowd of 60 a second asks for 6 seconds
    Then in the quarter second after 3 seconds at most 6 turns are granted
    And 5 seconds after the start turns are bound by reading alone

  Scenario: Who can't have a turn in time is refused at once, with the true wait
    Given an engine of 64 slots that is cold for 3 seconds and bears 10 a second
    When workspace agency asks 30 times for 100 tokens
    Then some of agency are refused at once
    And the wait that the last one is told is about 0.4 seconds

  Scenario: A cold engine tells that it is one that a request waits for
    It runs nothing and reads nothing. By its looks it would be the best of all.

    Given an engine of 64 slots that is cold for 3 seconds and bears 10 a second
    When workspace agency asks 4 times for 100 tokens
    Then it tells a wait of about 0.3 seconds

  Scenario: An engine without a bound is not held up
    Given an engine of 64 slots that is cold for 3 seconds and bears 0 a second
    When workspace agency asks 20 times for 100 tokens
    Then agency is granted 20 turns
