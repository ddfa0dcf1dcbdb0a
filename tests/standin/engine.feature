Feature: Stand-in for a model engine

  Scenario: A stream has the protocol's shape and its terminal
    Given a model engine
    When a stream is asked for with "say id=a1 tokens=5"
    Then the stream's text is "w0-a1 w1-a1 w2-a1 w3-a1 w4-a1"
    And the stream opens with the role and ends with usage and the terminal
    And the engine soon counts for "a1": 1 started, 1 finished, 0 cancelled, 0 cut

  Scenario: A plain answer is determined by its request
    Given a model engine
    When "no markers here" is asked twice
    Then both answers have the same text of 16 words
    And their ids differ in the ordinal of the execution only

  Scenario: A prompt with a known prefix is read faster
    Given a model engine
    When a prompt of 40 words is asked twice
    Then the second answer reports 32 cached prompt tokens

  Scenario Outline: Past the knee all requests slow down
    Given rates of 0.01 seconds a token with the knee at 8
    Then with <running> running a token takes <seconds> seconds

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
    When a stream with "id=left tokens=100000" is left after its first event
    Then the engine soon counts for "left": 1 started, 0 finished, 1 cancelled, 0 cut

  Scenario: A crash cuts every running request
    The marked prompt arrives while another stream is running. The engine
    cuts both connections at once and refuses new ones while it restarts.
    Neither caller sees a terminal, so neither answer looks complete.
    Given a model engine
    And its faults are {"crash_marker": "poison", "restart_seconds": 30}
    When a stream with "id=bystander tokens=100000" is running
    And "poison id=culprit" is asked
    Then both requests are broken
    And the engine soon refuses connections
    And the engine object counted a cut of "culprit" and of "bystander"

  Scenario: A crashed engine comes back on its port with empty memory
    Given a model engine
    And its faults are {"crash_marker": "poison", "restart_seconds": 0.2}
    When an order with number 7 has status 200
    And "poison id=culprit" is asked
    Then the engine soon answers again
    And an order with number 3 has status 200

  Scenario: A frozen engine answers once thawed
    Given a model engine
    And its faults are {"frozen": true}
    When "id=cold tokens=3" is asked without waiting
    Then there is no answer within 0.3 seconds
    And after the faults are {} the answer is "w0-cold w1-cold w2-cold"

  Scenario Outline: A stream is cut after some tokens
    The engine writes two tokens and its connection breaks. The caller has
    part of the text, or all of it, but no terminal and no protocol end:
    it must not take the answer for whole.
    Given a model engine
    And its faults are {"cut_after_chunks": 2}
    When a stream is asked for with "id=short tokens=<tokens>"
    Then the stream broke after the text "w0-short w1-short"
    And the engine soon counts for "short": 1 started, 0 finished, 0 cancelled, 1 cut

    Examples:
      | tokens |
      | 9      |
      | 2      |

  Scenario Outline: Errors come before or after the run
    Given a model engine
    And its faults are <faults>
    When "id=err" is asked
    Then the answer's status is 503
    And the engine soon counts for "err": <runs> started, <runs> finished, 0 cancelled, 0 cut

    Examples:
      | faults                                         | runs |
      | {"error_status": 503}                          | 0    |
      | {"error_status": 503, "error_after_run": true} | 1    |

  Scenario: Unknown faults are refused
    Given a model engine
    Then the faults {"no_such_fault": 1} are refused
