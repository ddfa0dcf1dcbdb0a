Feature: Operators list, show and edit the catalogue

  Background:
    Given a platform with the instances
      | instance | page  | revision |
      | entry-1  | entry | 1000     |
      | side-1   | side  | 1000     |
    And operator settings for that platform
    And the entry file
      """
      {
        "kind": "workspace",
        "name": "pilots", // the lone ones
        "owner": "ice service",
      }
      """

  Scenario: An entry is applied, listed, shown and removed
    When "sardinetrack catalogue apply OPERATOR ENTRY" is run
    Then the exit code is 0
    And the output mentions "workspace/pilots: version 1 written"
    And the output mentions "in force at 2 instances"
    When "sardinetrack catalogue list OPERATOR" is run
    Then the output mentions "ice service"
    When "sardinetrack catalogue remove OPERATOR workspace/pilots" is run
    Then the exit code is 0
    And the output mentions "removed"
    When "sardinetrack catalogue show OPERATOR workspace/pilots" is run
    Then the exit code is 1
    And the error output mentions "there is no workspace/pilots"

  Scenario: Applying the output of show changes nothing
    Given "sardinetrack catalogue apply OPERATOR ENTRY" was run
    When "sardinetrack catalogue show OPERATOR workspace/pilots" is run
    Then the output mentions "// workspace/pilots at version 1"
    When the output is applied as an entry file
    Then the exit code is 0
    And the output mentions "version 1 unchanged"

  Scenario: A conflicting edit is refused with both versions
    Two operators edit the same entry, and the second edit is based on the
    version before the first. It must not silently overwrite the first edit: it
    is refused, and the message names the version that it was based on and the
    current one.

    Given "sardinetrack catalogue apply OPERATOR ENTRY" was run
    And the entry file
      """
      {"kind": "workspace", "name": "pilots", "owner": "somebody else"}
      """
    When "sardinetrack catalogue apply OPERATOR ENTRY --version 0" is run
    Then the exit code is 3
    And the error output mentions "version 0"
    And the error output mentions "version 1"
    When "sardinetrack catalogue remove OPERATOR workspace/pilots --version 7" is run
    Then the exit code is 3
    When "sardinetrack catalogue list OPERATOR" is run
    Then the output mentions "ice service"

  Scenario Outline: A late edit is reported with the instances that are behind
    Given the instance "late-1" whose <page> page is at revision 0
    When "sardinetrack catalogue apply OPERATOR ENTRY --wait 0.5" is run
    Then the exit code is 4
    And the output mentions "version 1 written"
    And the error output mentions the address of "late-1"

    Examples:
      | page  |
      | entry |
      | side  |

  Scenario: A refusal by an instance is reported with its reason
    Given the instance "entry-2" that refuses "catalogue/workspace/pilots" because "models: taken"
    When "sardinetrack catalogue apply OPERATOR ENTRY" is run
    Then the exit code is 4
    And the error output mentions "entry-2: refused: models: taken"

  Scenario: Errors in an entry are listed and nothing is written
    Given the entry file
      """
      {"kind": "workspace", "name": "Pilots", "owner": ""}
      """
    When "sardinetrack catalogue apply OPERATOR ENTRY" is run
    Then the exit code is 2
    And the error output has 2 lines
    When "sardinetrack catalogue list OPERATOR" is run
    Then the output is empty

  Scenario: A platform outage is reported, and that nothing was changed
    Given the platform has an outage
    When "sardinetrack catalogue apply OPERATOR ENTRY" is run
    Then the exit code is 1
    And the error output mentions "nothing was changed"
    And there is no traceback

  Scenario Outline: Invalid arguments are usage errors
    When "sardinetrack catalogue <arguments>" is run
    Then the exit code is 2
    And there is no traceback

    Examples:
      | arguments                     |
      | list                          |
      | show OPERATOR pilots          |
      | show OPERATOR tenant/pilots   |
      | apply /nowhere/x.json ENTRY   |
