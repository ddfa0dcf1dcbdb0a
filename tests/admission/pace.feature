Feature: When an engine will have read what it was given

  Figures: an engine that reads 90,000 tokens a second, whose first events come
  0.055 s after their prompts are read. Today's engines read 57 to 125 tokens a
  millisecond, and take 53 ms to the first event.

  Scenario: Lag and rate are told apart in calm
    Prompts come one by one. Taken together, lag and reading time would make
    the engine look half as fast as it is, and it would refuse what it could
    read in time.

    Given an engine that reads 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens come one by one
    Then its rate is known within 15 in 100
    And its lag is known within 0.02 seconds

  Scenario: The rate is known within a second of full load
    After a start nothing is known of the engine, and everybody comes at once.

    Given an engine that reads 90000 tokens a second with a lag of 0.055 seconds
    When it reads without a pause for 1.5 seconds
    Then its rate is known within 15 in 100

  Scenario: An engine that has read everything is not taken for busy
    Its last first events are still under way. Were they waited for, it would
    stand idle for the lag each time, a third of a busy engine's time.

    Given an engine that reads 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens come one by one
    Then 0.01 seconds after it has read a prompt its backlog is below 0.02 seconds

  Scenario: An engine that stands still is given nothing more
    It has gone dark. By its clock alone its backlog would be read by now, and
    it would be given more and more that nobody answers.

    Given an engine that reads 90000 tokens a second with a lag of 0.055 seconds
    When 300 prompts of 300 to 12000 tokens come one by one
    And it is given 20000 tokens and stands still for 2 seconds
    Then its backlog is above 0.15 seconds

  Scenario: An engine that has turned slow is learned
    Given an engine that reads 90000 tokens a second with a lag of 0.055 seconds
    When it reads without a pause for 1.5 seconds
    And it turns 5 times slower and reads for 4 seconds
    Then its rate is known within 25 in 100
