Feature: Calls on the platform's object API over HTTP

  Background:
    Given a stand-in of the platform and a client of it

  Scenario: Objects are created, read, listed, replaced and deleted
    When "a/1" is created with "one"
    And "a/2" is created with "two"
    And "a/1" is replaced with "uno" if its version is unchanged
    And "a/2" is deleted if its version is unchanged
    Then the list of "a/" contains only "a/1" with "uno"
    And each write got a greater version than the one before
    And a read of "a/2" finds nothing

  Scenario: Two concurrent writers of one key
    Two callers read the same version and both write. The first write changes
    the version, so the second must be rejected and receive the current object;
    otherwise the change of the first writer would be lost silently.
    Given "k" is created with "base"
    When two writers replace the same version of "k"
    Then one write succeeds and the other receives the current version
    And a create of "k" receives the current version
    And a delete of the old version of "k" receives the current version

  Scenario: The response to a write is lost
    The platform carries out the write, then the connection is closed. The
    caller can't know the outcome, so the error must be "uncertain" and neither
    "done" nor "refused".
    Given the faults {"lose_replies": 1}
    When "k" is put with "v" and the error is recorded
    Then the error is UncertainError
    And a read of "k" finds "v"

  Scenario: The platform freezes during a write
    The caller's write waits until its timeout and takes effect after the
    platform resumes. "Refused" would be false, so it is uncertain.
    Given the faults {"freeze": true}
    When "k" is put with "v" and the error is recorded
    Then the error is UncertainError
    When the faults are {}
    Then a read of "k" eventually finds "v"

  Scenario Outline: Each failure has its own error
    Given the faults <faults>
    When the call "<call>" is made and the error is recorded
    Then the error is <error>

    Examples:
      | call         | faults                     | error             |
      | a put        | {"outage": true}           | UnavailableError  |
      | a get        | {"outage": true}           | UnavailableError  |
      | an instances | {"outage": true}           | UnavailableError  |
      | a get        | {"freeze": true}           | NoResponseError   |
      | a put        | {"writes_per_second": 0.1} | ThrottledError    |
      | a list       | {"reads_per_second": 0.1}  | ThrottledError    |
      | a watch      | {"watch_break": true}      | NoResponseError   |
      | an old watch | {}                         | WatchLostError    |
      | a large put  | {}                         | CallRejectedError |

  Scenario: A platform that is not running
    When the platform stops before a put
    Then the error is UnavailableError

  Scenario: A wrong token is rejected
    When a get is made with a wrong token
    Then the error is CallRejectedError

  Scenario: A watch returns a change, a deletion, or nothing after its timeout
    When a watch waits while "a/1" is created with "one"
    Then the watch returns "a/1"
    When a watch waits while "a/1" is deleted
    Then the watch returns the deletion of "a/1"
    When a watch waits without a change
    Then the watch returns nothing

  Scenario: Watches lag and repeat, the list of instances lags
    Given the faults {"watch_lag_seconds": 0.2, "watch_repeat": true}
    When "a/0" is created with "zero"
    And a watch waits while "a/1" is created with "one"
    Then the watch returns "a/1" and "a/0" again
    Given the faults {"list_lag_seconds": 30}
    When an instance "e1" is added to the list
    Then no instance is listed
    When the faults are {}
    Then the instance "e1" is listed

  Scenario: Calls are counted; a waiting watch counts as one
    When a watch waits without a change
    And a get is made
    Then the count of "watch" is 1 and of "get" is 1
