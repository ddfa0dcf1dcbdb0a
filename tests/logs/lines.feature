Feature: Log lines that people and programs can read

  Scenario: A decision as a text line
    Given the log format "text"
    When a decision is logged for request "r-1" because "lowest tag"
    Then the line is "INFO entry: request sent request_id=r-1 workspace=pilots pool=ice-llm backend_server=engine-1 reason="lowest tag" attempt_id="" waited_seconds=0.25"

  Scenario: Fields of a decision without a value are left out
    Given the log format "text"
    When a side's decision on attempt "a-1" is logged
    Then the line is "INFO side: start workspace=pilots pool=ice-llm backend_server=engine-1 reason="free slot" attempt_id=a-1"

  Scenario: A decision as a JSON line
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

  Scenario Outline: Each component has its own prefix
    Given the log format "json"
    When the component "<component>" logs "ready"
    Then the line's prefix is "<component>"

    Examples:
      | component |
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

  Scenario Outline: Bearer tokens are masked
    A caller's header gets into a message, a field or a traceback. Any reader
    of the logs could then act as that caller, so tokens are masked as the last
    step before the line is written.

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

  Scenario Outline: A field with the name of a secret is masked
    Given the log format "<format>"
    When a line is logged with the field "token" as "s3cr3t"
    Then no line mentions "s3cr3t"

    Examples:
      | format |
      | text   |
      | json   |

  Scenario Outline: Text from a caller can't forge a second line
    Given the log format "<format>"
    When a decision is logged for request "r-1\nERROR entry: forged" because "x"
    Then there is one line

    Examples:
      | format |
      | text   |
      | json   |

  Scenario: Lines below the log level are not written
    Given the log format "text"
    And the log level "warning"
    When the component "side" logs "ready"
    Then there is no line

  Scenario: Lines go to standard error
    When a process logs "ready" in the format "json"
    Then its standard output is empty
    And its standard error is one line of JSON
