Feature: Log lines are short sentences that people and programs can read

  Scenario: A decision as a line of text
    Given the log format "text"
    When a decision is logged for request "r-1" because "lowest tag"
    Then the line is "INFO entry: request sent request_id=r-1 workspace=pilots pool=ice-llm backend_server=engine-1 reason="lowest tag" attempt_id="" waited_seconds=0.25"

  Scenario: What a part does not know is left out of its decision's line
    Given the log format "text"
    When a side's decision on attempt "a-1" is logged
    Then the line is "INFO side: start workspace=pilots pool=ice-llm backend_server=engine-1 reason="free slot" attempt_id=a-1"

  Scenario: A decision as a line of JSON
    Given the log format "json"
    When a decision is logged for request "r-1" because "lowest tag"
    Then the line is JSON with
      | name           | text         |
      | level          | INFO         |
      | prefix         | entry        |
      | sentence       | request sent |
      | request_id     | r-1          |
      | workspace      | pilots       |
      | backend_server | engine-1     |
      | reason         | lowest tag   |

  Scenario Outline: Every part has its own prefix
    Given the log format "json"
    When the part "<part>" says "ready"
    Then the line's prefix is "<part>"

    Examples:
      | part      |
      | entry     |
      | side      |
      | link      |
      | membership |
      | process   |
      | catalogue |
      | lease     |
      | once      |
      | platform  |
      | standin   |

  Scenario Outline: No bearer token reaches a line
    A caller's header slips into a sentence, a field or a traceback. Whoever
    reads the logs could then act as that caller, so the last step before the
    line is written masks it.

    Given the log format "<format>"
    When a line is logged with "Authorization: Bearer s3cr3t.token" in its <place>
    Then no line mentions "s3cr3t"
    And a line mentions "***"

    Examples:
      | format | place     |
      | text   | sentence  |
      | text   | field     |
      | text   | traceback |
      | json   | sentence  |
      | json   | field     |
      | json   | traceback |

  Scenario Outline: A field that is named as a secret is masked
    Given the log format "<format>"
    When a line is logged with the field "token" as "s3cr3t"
    Then no line mentions "s3cr3t"

    Examples:
      | format |
      | text   |
      | json   |

  Scenario Outline: A caller's text can't forge a second line
    Given the log format "<format>"
    When a decision is logged for request "r-1\nERROR entry: forged" because "x"
    Then there is one line

    Examples:
      | format |
      | text   |
      | json   |

  Scenario: Lines below the level are left out
    Given the log format "text"
    And the log level "warning"
    When the part "side" says "ready"
    Then there is no line

  Scenario: Lines go to standard error
    When a process logs "ready" in the format "json"
    Then its standard output is empty
    And its standard error is one line of JSON
