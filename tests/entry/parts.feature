Feature: Single components behind the callers' HTTP interface

  Scenario Outline: Only a path that is definitely below a repeatable prefix may run twice
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

  Scenario: A stream is parsed alike however it is split into chunks
    Hypothesis splits streams of events anywhere, also inside a line ending.
    Then every split of a stream returns the same complete events

  Scenario Outline: No decision reports a request that ran as "not run"
    A request is attempted on several servers, and the last decision about it
    is "not run". The error that the caller gets is true of all attempts.
    Then after attempts that ended <ends>, "<decided>" is reported as "<reported>"

    Examples:
      | ends                 | decided           | reported          |
      | not_started          | not_run_deadline  | not_run_deadline  |
      | failed               | not_run_deadline  | server_failed     |
      | failed, not_started  | not_run_no_server | server_failed     |
      | unknown, not_started | queue_full        | outcome_unknown   |
      | failed, unknown      | crashes_servers   | outcome_unknown   |
      | failed               | answer_cut        | answer_cut        |

  Scenario: One workspace's bodies leave capacity for others
    Given a budget of 100 bytes, 60 for each workspace
    When "flood" reserves 60 bytes
    Then "flood" is refused one byte more
    And "pilot" may reserve 40 bytes
    When "flood" releases everything
    Then "flood" may reserve 60 bytes

  Scenario Outline: Retry-After is in whole seconds
    Then an error with a delay of <seconds> seconds has Retry-After "<header>"

    Examples:
      | seconds | header |
      | 0       | 0      |
      | 0.01    | 1      |
      | 1.2     | 2      |
      | 30      | 30     |
