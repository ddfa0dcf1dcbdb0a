Feature: Catalogue entries as the rest of the system uses them

  Scenario: A workspace with all limits
    When this catalogue entry is parsed
      """
      {"kind": "workspace", "name": "pilot-1", "owner": "harbour office",
       "class": "interactive",
       "limits": {"weight": 1, "concurrency": 8, "rate_per_second": 20,
                  "waiting": 64},
       "token_hashes": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}
      """
    Then its limits are weight 1, concurrency 8, rate 20 and waiting 64
    And it belongs to "harbour office" with 1 token

  Scenario Outline: A class provides the limits that a catalogue entry omits
    When a workspace of class "<class>" with only concurrency 3 is parsed
    Then its limits are weight <weight>, concurrency 3, rate 50 and waiting <waiting>

    Examples:
      | class       | weight | waiting |
      | interactive | 1      | 64      |
      | standard    | 1      | 128     |
      | batch       | 0.5    | 512     |

  Scenario: A pool
    When this catalogue entry is parsed
      """
      {"kind": "pool", "name": "ice-llm", "owner": "charting",
       "class": "model", "models": ["ice-llm"],
       "limits": {"slots_per_server": 8, "max_body_bytes": 4000000,
                  "max_run_seconds": 600},
       "repeatable": [{"method": "GET", "path_prefix": "/titles/"}],
       "checks_fencing": ["engine-1"]}
      """
    Then it is a pool of 8 slots for "ice-llm" that may repeat GET "/titles/"

  Scenario: The active configuration of an instance is queried over HTTP
    Given an instance that responds to peers with the secret "s3"
    When a listed instance and one that is not running are queried with "s3"
    Then the first returns revision 7 and the other nothing
    When a listed instance and one that is not running are queried with "wrong"
    Then neither returns a status
