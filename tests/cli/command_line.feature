Feature: The command line has complete help and never shows a traceback

  Scenario: The help shows every command, with examples and exit codes
    When "sardinetrack --help" is run
    Then the exit code is 0
    And the output mentions every registered command
    And every registered command's help shows its examples and exit codes
    And every registered command's examples can be parsed

  Scenario: The version
    When "sardinetrack --version" is run
    Then the exit code is 0
    And the output is the package's version

  Scenario Outline: A usage error has a clear message and exit code 2
    When "sardinetrack <arguments>" is run
    Then the exit code is 2
    And the error output mentions "<reason>"
    And there is no traceback

    Examples:
      | arguments                   | reason                  |
      | dance                       | invalid choice          |
      | entry                       | arguments are required  |
      | local --port 70000          | 65535                   |
      | entry /nowhere/x.json       | No such file            |
      | side /nowhere/x.json        | No such file            |
      | check /nowhere/x.json       | No such file            |
      | status                      | is required             |
      | status /nowhere/x.json      | No such file            |
      | status x --url http://[::1]:1 | not allowed with      |
      | --log-level loud check x    | invalid choice          |

  Scenario: The effective settings are printed with secrets masked
    Given a settings file of an entry with the secret "peer-word"
    When "sardinetrack check SETTINGS" is run
    Then the exit code is 0
    And the output is JSON whose "drain_seconds" is 30
    And neither output mentions "peer-word"

  Scenario: Errors in a settings file are listed on standard error
    Given a settings file of an entry with two errors
    When "sardinetrack check SETTINGS" is run
    Then the exit code is 2
    And the output is empty
    And the error output has 2 lines

  Scenario: Settings without a role can't be checked
    Given a settings file that holds "{}"
    When "sardinetrack check SETTINGS" is run
    Then the exit code is 2
    And the error output mentions "role: must be 'entry', 'side' or 'operator'"

  Scenario: An interrupted command has its own exit code
    Given a command that is interrupted
    When "sardinetrack check x" is run
    Then the exit code is 130
    And there is no traceback

  Scenario: The module runs as the installed program does
    When the module is run as a process with "check /nowhere/x.json"
    Then the exit code is 2
    And there is no traceback

  Scenario: The operators' page lists the same exit codes as the help
    Then docs/operators.md has one row for each exit code and no other

  Scenario: The operators' page lists the metrics that are served
    Then docs/operators.md has one row for each metric and no other
