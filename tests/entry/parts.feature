Feature: The small decisions of the border

  Scenario Outline: Only what is surely below a repeatable prefix may run twice
    Then <method> of "<path>" is <verdict>

    Examples:
      | method | path              | verdict        |
      | GET    | /charts           | repeatable     |
      | GET    | /charts?day=/../1 | repeatable     |
      | GET    | /charts/varna     | repeatable     |
      | POST   | /charts           | not repeatable |
      | GET    | /charts-bill      | not repeatable |
      | GET    | /bill             | not repeatable |
      | GET    | /charts/../bill   | not repeatable |
      | GET    | /charts/..        | not repeatable |
      | GET    | /charts/%2e%2e/b  | not repeatable |
      | GET    | /charts//bill     | not repeatable |
      | GET    | /charts\\bill     | not repeatable |

  Scenario: However a stream is cut into pieces, it reads the same
    Hypothesis cuts streams of events anywhere, also inside a line's end.
    Then every cut of a stream releases the same whole events

  Scenario Outline: No decision makes a request that ran "not run"
    A request is tried on several servers, and the last decision about it says
    that it was not run. What the caller reads is true of all attempts.
    Then after attempts that ended <ends>, "<decided>" is told as "<told>"

    Examples:
      | ends                 | decided           | told              |
      | not_started          | not_run_deadline  | not_run_deadline  |
      | failed               | not_run_deadline  | server_failed     |
      | failed, not_started  | not_run_no_server | server_failed     |
      | unknown, not_started | queue_full        | outcome_unknown   |
      | failed, unknown      | crashes_servers   | outcome_unknown   |
      | failed               | answer_cut        | answer_cut        |

  Scenario: One workspace's bodies leave room for others
    Given a budget of 100 bytes, 60 for each workspace
    When "flood" holds 60 bytes
    Then "flood" is refused one byte more
    And "pilot" may hold 40 bytes
    When "flood" gives back everything
    Then "flood" may hold 60 bytes

  Scenario Outline: The time to come back is told in whole seconds
    Then an error that says <seconds> has Retry-After "<header>"

    Examples:
      | seconds | header |
      | 0       | 0      |
      | 0.01    | 1      |
      | 1.2     | 2      |
      | 30      | 30     |
