Feature: Tasks without which a process lives but does nothing

  Scenario Outline: An unexpected error in <task> of <owner>
    Guards against a process that goes on without the task: an entry that checks
    no deadlines and writes no log, a side that reports no load, for good.

    Given <owner> on loopback
    When <task> raises an unexpected error once
    Then the error is logged as a fault
    And <task> works again

    Examples:
      | owner    | task             |
      | an entry | the sweep        |
      | an entry | the view         |
      | a side   | the load reports |
      | a side   | the engine polls |

  Scenario: An unexpected error in the check of one request
    Guards against one request whose check fails, and leaves all others without.

    Given an entry on loopback
    When the check of one of two requests raises an unexpected error
    Then the error is logged as a fault
    And the other request is checked
