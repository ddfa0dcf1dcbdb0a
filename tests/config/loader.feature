Feature: Settings files are checked as a whole

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
    Then there is no mistake
    And the instance is "entry-1"
    And the platform is at "http://127.0.0.1:9000"
    And the drain takes at most 30 seconds

  Scenario: Every mistake is listed at once with place and reason
    The operator sees the whole list after one try. Mistakes of different
    kinds (types, names, addresses, secrets) are found in the same pass,
    because a list that ends at the first one costs a restart for each.

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
    Then the mistakes are
      | place                         | reason                            |
      | instance                      | string should match pattern       |
      | failure_domain                | field required                    |
      | operator.ip                   | an IP number is needed            |
      | operator.port                 | less than or equal to 65535       |
      | platform.url                  | an IP number is needed            |
      | platform.token                | file /nowhere/token can't be read |
      | platform.call_timeout_seconds | greater than 0                    |
      | peer_secret                   | variable PEER_WORD is not set     |
      | backend_url                   | starts with http://               |
      | surprise                      | there is no such setting          |

  Scenario Outline: A broken file is told by line and column
    Given a settings file that holds <text>
    When it is loaded as entry settings
    Then the only mistake is at "<place>" because "<reason>"

    Examples:
      | text                  | place            | reason                   |
      | {"role":              | line 1, column 1 | unclosed object          |
      | {"a": 1,\n  "b": }    | line 2, column 8 | expected a value         |
      | null                  | settings         | a JSON object is needed  |
      | []                    | settings         | a JSON object is needed  |
      | {} {}                 | line 1, column 4 | extra data               |

  Scenario: A missing file is a mistake like any other
    When the file "/nowhere/settings.json" is loaded as entry settings
    Then the only mistake is at "settings" because "No such file"

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

  Scenario Outline: A secret without exactly one usable source is a mistake
    Given a secret file that holds " "
    When the secret <secret> is loaded
    Then the only mistake is at "peer_secret" because "<reason>"

    Examples:
      | secret                               | reason            |
      | {}                                   | give one of value |
      | {"value": "one", "file": "/nowhere"} | give one of value |
      | {"value": ""}                        | secret is empty   |
      | {"file": "SECRET_FILE"}              | is empty          |

  Scenario: No mistake repeats the secret that stands beside it
    Given a settings file that holds {"peer_secret": {"value": "peer-word", "fil": 1}}
    When it is loaded as entry settings
    Then no mistake mentions "peer-word"

  Scenario: Whatever the file holds, the answer is settings or mistakes
    Then any text gives settings or a list of mistakes
