Feature: Settings files are validated as a whole

  Scenario: Comments and trailing commas are accepted
    Given a settings file
      """
      {
        // an entry of the ice service
        "role": "entry",
        "instance": "entry-1",
        "failure_domain": "galata", /* a short hop from the others */
        "platform": {
          "url": "http://127.0.0.1:9000/",
          "token": {"value": "platform-token"},
        },
        "peer_secret": {"value": "peer-word"},
      }
      """
    When it is loaded as entry settings
    Then there is no problem
    And the instance is "entry-1"
    And the platform is at "http://127.0.0.1:9000"
    And the drain takes at most 30 seconds

  Scenario: All problems are listed together with place and reason
    The operator sees the complete list after one attempt. Problems of different
    kinds (types, names, addresses, secrets) are found in the same pass, because
    a list that ends at the first one would cost a restart for each.

    Given the environment variable "PEER_WORD" is not set
    And a settings file
      """
      {
        "role": "side",
        "instance": "Side One",
        "surprise": 1,
        "platform": {
          "url": "http://platform.example:9000",
          "token": {"file": "/nowhere/token"},
          "call_timeout_seconds": 0
        },
        "peer_secret": {"environment": "PEER_WORD"},
        "operator": {"ip": "localhost", "port": 70000},
        "pool": "ice-llm",
        "backend_server": "engine-1",
        "backend_url": "https://127.0.0.1:8000"
      }
      """
    When it is loaded as side settings
    Then the problems are
      | place                         | reason                            |
      | instance                      | string should match pattern       |
      | failure_domain                | field required                    |
      | operator.ip                   | an IP address is required         |
      | operator.port                 | less than or equal to 65535       |
      | platform.url                  | an IP address is required         |
      | platform.token                | file /nowhere/token can't be read |
      | platform.call_timeout_seconds | greater than 0                    |
      | peer_secret                   | variable PEER_WORD is not set     |
      | backend_url                   | starts with http://               |
      | surprise                      | there is no such setting          |

  Scenario Outline: A syntax error is reported with line and column
    Given a settings file that holds <text>
    When it is loaded as entry settings
    Then the only problem is at "<place>" because "<reason>"

    Examples:
      | text                  | place            | reason                    |
      | {"role":              | line 1, column 1 | unclosed object           |
      | {"a": 1,\n  "b": }    | line 2, column 8 | expected a value          |
      | null                  | settings         | a JSON object is required |
      | []                    | settings         | a JSON object is required |
      | {} {}                 | line 1, column 4 | extra data                |

  Scenario: A missing file is reported like any other problem
    When the file "/nowhere/settings.json" is loaded as entry settings
    Then the only problem is at "settings" because "No such file"

  Scenario Outline: A secret comes from exactly one source
    Given the environment variable "PEER_WORD" is "from-environment"
    And a secret file that holds "from-file"
    When the secret <secret> is loaded
    Then it resolves to "<text>"

    Examples:
      | secret                       | text             |
      | {"value": "in-place"}        | in-place         |
      | {"environment": "PEER_WORD"} | from-environment |
      | {"file": "SECRET_FILE"}      | from-file        |

  Scenario Outline: A secret without exactly one usable source is a problem
    Given a secret file that holds " "
    When the secret <secret> is loaded
    Then the only problem is at "peer_secret" because "<reason>"

    Examples:
      | secret                               | reason                    |
      | {}                                   | give exactly one of value |
      | {"value": "one", "file": "/nowhere"} | give exactly one of value |
      | {"value": ""}                        | secret is empty           |
      | {"file": "SECRET_FILE"}              | is empty                  |

  Scenario: No problem repeats a secret next to it
    Given a settings file that holds {"peer_secret": {"value": "peer-word", "fil": 1}}
    When it is loaded as entry settings
    Then no problem mentions "peer-word"

  Scenario: Any file content results in settings or problems
    Then any text results in settings or a list of problems
