Feature: The report of an engine

  Scenario: A report as an engine sends it
    Given the report of an engine that runs 2 requests and prefills others
    Then its start, counts and runs are decoded
    And it says that the engine prefills

  Scenario: An engine that reports no start
    Given the report of an engine that runs 2 requests and prefills others
    When the born of the report becomes nothing
    Then it is decoded without a start

  Scenario Outline: A report with a missing or invalid field is unreadable
    Samples of steps are computed from successive reports; a default in place
    of a field would make a sample of an engine that does something else.

    Given the report of an engine that runs 2 requests and prefills others
    When the <field> of the report becomes <content>
    Then it is unreadable

    Examples:
      | field  | content                                   |
      | queued | nothing                                   |
      | queued | "1"                                       |
      | queued | null                                      |
      | queued | -1                                        |
      | queued | 1.0                                       |
      | active | nothing                                   |
      | active | true                                      |
      | active | 100000000000000000000000000               |
      | runs   | nothing                                   |
      | runs   | {}                                        |
      | runs   | [["a", 713, 20]]                          |
      | runs   | [["a", 713, "20", 5]]                     |
      | runs   | [[7, 713, 20, 5]]                         |
      | runs   | [["a", 713, -20, 5]]                      |
      | runs   | [["a", 713, 20, 5], null]                 |
      | born   | null                                      |
      | born   | "soon"                                    |
      | born   | 1.5                                       |

  Scenario Outline: A body that is no report is unreadable
    An exception of another kind would end the polls.

    Given the body <body>
    Then it is unreadable

    Examples:
      | body            |
      | empty           |
      | {"queued":1     |
      | []              |
      | null            |
      | deeply nested   |
