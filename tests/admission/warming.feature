Feature: Permits at an engine after a cold start

  An engine that has just started handles few requests a second, and crashes at
  a rate well above that. The case: engines start again while many requests
  have waited for them. Each caller sees its request accepted and then
  interrupted; the engine starts cold again, and never gets out of this loop.

  Scenario Outline: Waiting requests do not crash an engine that starts again
    Given an engine of 64 slots that is cold for 3 seconds and handles <handles> requests a second
    When <load> requests a second arrive for 5 seconds
    Then in no second of the first 3 more than <most> permits are granted
    And the engine is not left idle while cold

    Examples:
      | handles | load | most |
      | 10      | 60   | 12   |
      | 10      | 400  | 12   |
      | 4       | 60   | 6    |

  Scenario: Queued requests do not all go when the engine is warm
    Given an engine of 64 slots that is cold for 3 seconds and handles 10 requests a second
    When 60 requests a second arrive for 6 seconds
    Then in the quarter second after 3 seconds at most 6 permits are granted
    And 5 seconds after the start permits are limited only by prefill

  Scenario: Requests that can't get a permit in time are refused immediately, with the real wait
    Given an engine of 64 slots that is cold for 3 seconds and handles 10 requests a second
    When workspace agency sends 30 requests of 100 prompt tokens
    Then some requests of agency are refused immediately
    And the last refusal reports a wait of about 0.4 seconds

  Scenario: A cold engine reports that requests wait for it
    It runs nothing and prefills nothing. Without this report it would look like
    the best engine of all.

    Given an engine of 64 slots that is cold for 3 seconds and handles 10 requests a second
    When workspace agency sends 4 requests of 100 prompt tokens
    Then it reports a wait of about 0.3 seconds

  Scenario: An engine without a limit is not delayed
    Given an engine of 64 slots that is cold for 3 seconds and handles 0 requests a second
    When workspace agency sends 20 requests of 100 prompt tokens
    Then agency is granted 20 permits
