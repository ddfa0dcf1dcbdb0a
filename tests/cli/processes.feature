Feature: Commands that talk to others fail clearly

  Scenario Outline: A stand-in tells where it is served and stops on request
    When the process "stand-in <kind>" is started
    Then its first line is JSON with a URL
    And a call of that URL is answered
    When the process is interrupted
    Then the exit code is 130
    And there is no traceback

    Examples:
      | kind     |
      | engine   |
      | service  |
      | platform |

  Scenario: A stand-in takes its settings from a file
    Given a settings file that holds "{"faults": {"error_status": 500}}"
    When the process "stand-in engine SETTINGS" is started
    Then its first line is JSON with a URL

  Scenario: Mistakes in a stand-in's settings are listed
    Given a settings file that holds "{"faults": {"error_status": 1, "x": 2}}"
    When "sardinetrack stand-in engine SETTINGS" is run
    Then the exit code is 2
    And the error output has 2 lines

  Scenario: A port that is taken is one line, not a traceback
    Given a port that is taken
    When "sardinetrack stand-in engine --port PORT" is run
    Then the exit code is 1
    And the error output mentions "Address already in use"
    And there is no traceback

  Scenario: The status page is shown as it came on request
    Given an operator port that answers 200 with "{"instance": "entry-1"}"
    When "sardinetrack status --url http://127.0.0.1:PORT --json" is run
    Then the exit code is 0
    And the output is JSON whose text "instance" is "entry-1"

  Scenario Outline: A status page that is not one is a failure
    Given an operator port that answers <status> with "<text>"
    When the status of that port is read
    Then the exit code is 1
    And the error output mentions "<reason>"

    Examples:
      | status | text  | reason     |
      | 200    | hello | no JSON    |
      | 200    | {}    | no status page |
      | 503    | {}    | status 503 |

  Scenario: Nobody listens at the operator port
    Given a port that nobody listens at
    When "sardinetrack status --url http://127.0.0.1:PORT" is run
    Then the exit code is 1
    And the error output mentions "no answer"
    And there is no traceback

  Scenario: A first try with a load tool is not refused
    Somebody starts the whole system on one machine and sends it 300 calls
    over 60 connections. None is told that its workspace calls too often.

    When the process "local --port 0 --log-level error" is started
    And 300 calls are sent to it over 60 connections
    Then every call was answered 200
