Feature: Prompts are spaced so that streams don't pause for too long

  Figures of a slow engine: a step that only decodes takes 5.5 ms, one that also
  prefills a chunk of 2,048 tokens takes 58 ms. An event holds 6 tokens, so it
  takes 33 ms, and 348 ms when each of its steps prefills. The objective for
  pauses is 300 ms, the one for first events 2 s.

  Scenario: Long prompts back to back beside streams
    Prompts of two or three chunks come all the time. Prefilled back to back
    they fill all steps of an event, and many streams pause for too long; none
    of these prompts causes that alone.

    Given a slow engine that reports, and one that does not
    When 5 workspaces send prompts of 2500 to 6000 tokens for 40 seconds, at 60 percent
    Then without reports streams pause for longer than 0.3 seconds
    And with reports no stream pauses for longer than 0.3 seconds
    And with reports every first event comes within 2 seconds
    And with reports at least 0.99 of the prompt tokens are prefilled
    And with reports fewer than 20 timers a second are needed

  Scenario: More long prompts than can be spaced
    The breaks take some of the time in which the engine would prefill; the
    requests that can't start in time because of them are refused.

    Given a slow engine that reports, and one that does not
    When 5 workspaces send prompts of 2500 to 6000 tokens for 40 seconds, at 90 percent
    Then with reports no stream pauses for longer than 0.3 seconds
    And with reports at least 0.9 of the prompt tokens are prefilled
    And with reports fewer than 20 timers a second are needed

  Scenario: An engine whose pace never binds decides exactly as before
    Its event takes 150 ms during a prefill, and the objective is 300 ms.

    Given a fast engine that reports, and one that does not
    When 5 workspaces send prompts of 300 to 20000 tokens for 20 seconds, at 110 percent
    Then the pace of its steps is known
    And both grant the same requests at the same moments

  Scenario: The pace follows from the reports
    Were pairs of reports in which a prefill ends counted too, a step with
    prefill would look up to a quarter faster than it is.

    Given a slow engine that reports, and one that does not
    When 5 workspaces send prompts of 2500 to 6000 tokens for 20 seconds, at 60 percent
    Then its events hold about 6 tokens, and its steps take about 0.0055 and 0.058 seconds

  Scenario: One stream is not enough to measure the pace
    Given a slow engine that reports, and one that does not
    When a stream runs while a prompt of 50000 tokens is prefilled
    Then the pace of its steps is unknown

  Scenario: A prompt that alone breaks the objective comes a whole event after the others
    It can't be prefilled without a long pause, and must not wait for ever.

    Given a slow engine whose pace is known, with streams
    When workspace pilot sends a prompt of 4000 tokens
    And workspace agency sends a prompt of 20000 tokens
    Then agency is granted no permit while the engine prefills, nor 0.033 seconds after
    And agency is granted a permit within 0.3 seconds
    And its usage report shows that requests waited for the spacing for at least 0.033 seconds

  Scenario: The wait that is reported and decides refusals includes the spacing
    A request away from home waits for at most 20 ms; it would wait in vain.

    Given a slow engine whose pace is known, with streams
    When workspace pilot sends a prompt of 12000 tokens
    And 0.2 seconds pass at the streams
    Then a request away from home is refused immediately
    And the reported wait is longer than the prefill that is left

  Scenario: A prompt that needs no prefill is not spaced
    Given a slow engine whose pace is known, with streams
    When workspace pilot sends a prompt of 8000 tokens
    And workspace agency sends a prompt of 0 tokens
    Then agency is granted a permit within 0.2 seconds

  Scenario: Without a report for 5 seconds the pace is unknown
    The monitor has lost its engine. What was learned says nothing of it now.

    Given a slow engine whose pace is known, with streams
    When its reports stop for 4 seconds
    Then the pace of its steps is known
    When its reports stop for 2 seconds
    Then the pace of its steps is unknown
    And a prompt is granted while another one is being prefilled

  Scenario: A restart forgets the pace
    Given a slow engine whose pace is known, with streams
    When the entries report its restart
    Then the pace of its steps is unknown

  Scenario: A restart that only the report shows forgets the pace
    Given a slow engine whose pace is known, with streams
    When its report shows another start
    Then the pace of its steps is unknown

  Scenario: Every workspace gets its turn in the same order
    Six workspaces wait with prompts of all sizes, some of which break the
    objective alone. A prompt that fits must not go before the one that is next.

    Given a slow engine that reports, and one that does not
    When the pace is known, and 6 workspaces send 5 prompts of 300 to 15000 tokens each
    Then with reports all of them are granted
    And each workspace has been granted as many as another one, or one fewer
