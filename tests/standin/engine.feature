Feature: Stand-in for a model engine

  Scenario: A stream has the protocol's format and its terminal event
    Given a model engine
    When a stream is requested with "say id=a1 tokens=5"
    Then the stream's text is "w0-a1 w1-a1 w2-a1 w3-a1 w4-a1"
    And the stream opens with the role and ends with usage and the terminal event
    And the engine soon counts for "a1": 1 started, 1 finished, 0 cancelled, 0 cut

  Scenario: A plain response is determined by its request
    Given a model engine
    When "no markers here" is sent twice
    Then both responses have the same text of 16 words
    And their ids differ in the ordinal of the execution only

  Scenario: The prefix of a known prompt is cached
    Given a model engine
    When a prompt of 40 words is sent twice
    Then the second response reports 32 cached prompt tokens

  Scenario Outline: Beyond the knee all requests slow down
    Given rates of 0.01 seconds a token with the knee at 8
    Then with <running> running requests a token takes <seconds> seconds

    Examples:
      | running | seconds |
      | 1       | 0.01    |
      | 8       | 0.01    |
      | 16      | 0.02    |
      | 80      | 0.1     |

  Scenario: Load reports lag
    Given a load meter with a lag of 1 second
    When 3 requests decode 6 tokens each at 0.5 seconds
    Then the report at 0.9 seconds has 0 running and 0 tokens per second
    And the report at 1.1 seconds has 3 running and 18 tokens per second
    And the report at 5.0 seconds has 3 running and 0 tokens per second

  Scenario: A closed connection cancels the generation
    Given a model engine
    When the caller of a stream with "id=left tokens=100000" disconnects after its first event
    Then the engine soon counts for "left": 1 started, 0 finished, 1 cancelled, 0 cut

  Scenario: A crash interrupts every running request
    The marked prompt arrives while another stream is running. The engine
    aborts both connections and refuses new ones while it restarts. Neither
    caller receives a terminal event, so neither response looks complete.
    Given a model engine
    And its faults are {"crash_marker": "poison", "restart_seconds": 30}
    When a stream with "id=bystander tokens=100000" is running
    And "poison id=culprit" is sent
    Then both requests are interrupted
    And the engine soon refuses connections
    And the engine object counted interrupted executions of "culprit" and of "bystander"

  Scenario: A crashed engine restarts on its port with no state left
    Given a model engine
    And its faults are {"crash_marker": "poison", "restart_seconds": 0.2}
    When a load command with fencing token 7 has status 200
    And "poison id=culprit" is sent
    Then the engine soon responds again
    And a load command with fencing token 3 has status 200

  Scenario: A frozen engine responds once it is no longer frozen
    Given a model engine
    And its faults are {"frozen": true}
    When "id=cold tokens=3" is sent without waiting
    Then there is no response within 0.3 seconds
    And after the faults are {} the response is "w0-cold w1-cold w2-cold"

  Scenario Outline: A stream is truncated after some tokens
    The engine writes two tokens and aborts the connection. The caller has
    received some or all of the text, but neither the terminal event nor the
    end of the HTTP body, so it must not treat the response as complete.
    Given a model engine
    And its faults are {"cut_after_chunks": 2}
    When a stream is requested with "id=short tokens=<tokens>"
    Then the stream was interrupted after the text "w0-short w1-short"
    And the engine soon counts for "short": 1 started, 0 finished, 0 cancelled, 1 cut

    Examples:
      | tokens |
      | 9      |
      | 2      |

  Scenario Outline: Errors come before or after the run
    Given a model engine
    And its faults are <faults>
    When "id=err" is sent
    Then the response's status is 503
    And the engine soon counts for "err": <runs> started, <runs> finished, 0 cancelled, 0 cut

    Examples:
      | faults                                         | runs |
      | {"error_status": 503}                          | 0    |
      | {"error_status": 503, "error_after_run": true} | 1    |

  Scenario: An engine that asks for rest still reports its load
    Given a model engine
    And its faults are {"rest_seconds": 2, "leaving": true}
    When "id=rest" is sent
    Then the response's status is 503
    And the engine soon counts for "rest": 0 started, 0 finished, 0 cancelled, 0 cut
    And its load report has the header "server-leaving"

  Scenario: Unknown faults are refused
    Given a model engine
    Then the faults {"no_such_fault": 1} are refused
