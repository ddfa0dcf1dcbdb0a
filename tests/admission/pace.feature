Feature: When an engine will have prefilled what was granted

  Figures: an engine that prefills 90,000 tokens a second, whose first events
  come 0.055 s after their prompts are prefilled. Current engines prefill 57 to
  125 tokens a millisecond, and take 53 ms to the first event.

  Scenario: Lag and rate are told apart under light load
    Prompts arrive one by one. If lag and prefill time were taken together, the
    engine would look half as fast as it is, and requests that it could prefill
    in time would be refused.

    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens arrive one by one
    Then its rate is estimated within 15 percent
    And its lag is estimated within 0.02 seconds

  Scenario: The rate is known within a second of full load
    After a start nothing is known of the engine, and all requests arrive
    together.

    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When it prefills without a break for 1.5 seconds
    Then its rate is estimated within 15 percent

  Scenario: An engine that has prefilled everything does not count as busy
    Its last first events are still under way. If the side waited for them, the
    engine would idle for the lag each time, a third of a busy engine's time.

    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens arrive one by one
    Then 0.01 seconds after it has prefilled a prompt its backlog is below 0.02 seconds

  Scenario: A stalled engine gets nothing more
    It no longer responds. By the clock alone its backlog would be done by now;
    it would get more and more requests that never get a response.

    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens arrive one by one
    And it gets 20000 tokens and stalls for 2 seconds
    Then its backlog is above 0.15 seconds

  Scenario: The estimate follows an engine that becomes slow
    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When it prefills without a break for 1.5 seconds
    And it becomes 5 times slower and prefills for 4 seconds
    Then its rate is estimated within 25 percent

  Scenario: A stream that continues from a copy says nothing about the pace
    It has nothing to prefill, and its first event comes a second after its
    permit: measured, the engine would look slow to every entry.

    Given an engine that prefills 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens arrive one by one
    And 10 streams that prefill nothing begin 1 second after their permits
    Then its rate is estimated within 15 percent
    And its lag is estimated within 0.02 seconds
