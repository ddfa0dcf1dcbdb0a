Feature: Commands that serve or call others fail with clear messages

  Scenario Outline: A stand-in prints its URL and stops when interrupted
    When the process "stand-in <kind>" is started
    Then its first line is JSON with a URL
    And a request to that URL gets a response
    When the process is interrupted
    Then the exit code is 130
    And there is no traceback

    Examples:
      | kind     |
      | engine   |
      | service  |
      | platform |

  Scenario: A stand-in reads its settings from a file
    Given a settings file that holds "{"faults": {"error_status": 500}}"
    When the process "stand-in engine SETTINGS" is started
    Then its first line is JSON with a URL

  Scenario: Errors in a stand-in's settings are listed
    Given a settings file that holds "{"faults": {"error_status": 1, "x": 2}}"
    When "sardinetrack stand-in engine SETTINGS" is run
    Then the exit code is 2
    And the error output has 2 lines

  Scenario: A port in use is reported without a traceback
    Given a port that is in use
    When "sardinetrack stand-in engine --port PORT" is run
    Then the exit code is 1
    And the error output mentions "Address already in use"
    And there is no traceback

  Scenario: The status page can be printed as received
    Given an operator port that responds with 200 and "{"instance": "entry-1"}"
    When "sardinetrack status --url http://127.0.0.1:PORT --json" is run
    Then the exit code is 0
    And the output is JSON whose text "instance" is "entry-1"

  Scenario Outline: A response that is not a status page is an error
    Given an operator port that responds with <status> and "<text>"
    When the status of that port is read
    Then the exit code is 1
    And the error output mentions "<reason>"

    Examples:
      | status | text  | reason            |
      | 200    | hello | not JSON          |
      | 200    | {}    | not a status page |
      | 503    | {}    | status 503        |

  Scenario: The operator port is closed
    Given a closed port
    When "sardinetrack status --url http://127.0.0.1:PORT" is run
    Then the exit code is 1
    And the error output mentions "no response"
    And there is no traceback

  Scenario: A load tool on a local fleet is not rate limited
    A user starts the whole system on one machine and sends it 300 calls over
    60 connections. None may be refused because its workspace calls too often.

    When the process "local --port 0 --log-level error" is started
    And 300 calls are sent to it over 60 connections
    Then every call gets a response with status 200
