Feature: Calls on the platform's object API over HTTP

  Background:
    Given a stand-in of the platform and a client on it

  Scenario: Objects are created, read, listed, replaced and deleted
    When "a/1" is created with "one"
    And "a/2" is created with "two"
    And "a/1" is replaced with "uno" over its version
    And "a/2" is deleted over its version
    Then the list of "a/" holds "a/1" with "uno" only
    And each write got a greater version than the one before
    And a read of "a/2" finds nothing

  Scenario: Two writers race for one key
    Two callers read the same version and both write. The first write moves
    the version on, so the second must be refused and told what stands there;
    without that, the first writer's change would be lost in silence.
    Given "k" is created with "base"
    When two writers replace "k" over the same version
    Then one write stands and the other learns the version that stands
    And a create of "k" learns the version that stands
    And a delete of "k" over the old version learns the version that stands

  Scenario: The reply of a write is lost
    The platform makes the write, then the connection is cut. The caller
    can't know, so it must hear "uncertain" and neither "done" nor "refused".
    Given the faults {"lose_replies": 1}
    When "k" is put with "v" and the error is kept
    Then the error is UncertainError
    And a read of "k" finds "v"

  Scenario: The platform freezes during a write
    The caller's write hangs until its timeout and takes effect after the
    platform moves on. "Refused" would be false, so it is uncertain.
    Given the faults {"freeze": true}
    When "k" is put with "v" and the error is kept
    Then the error is UncertainError
    When the faults are {}
    Then a read of "k" finds "v" in the end

  Scenario Outline: Each failure has its own error
    Given the faults <faults>
    When the call "<call>" is made and the error is kept
    Then the error is <error>

    Examples:
      | call         | faults                     | error            |
      | a put        | {"outage": true}           | UnavailableError |
      | a get        | {"outage": true}           | UnavailableError |
      | an instances | {"outage": true}           | UnavailableError |
      | a get        | {"freeze": true}           | NoAnswerError    |
      | a put        | {"writes_per_second": 0.1} | ThrottledError   |
      | a list       | {"reads_per_second": 0.1}  | ThrottledError   |
      | a watch      | {"watch_break": true}      | NoAnswerError    |
      | an old watch | {}                         | WatchLostError   |
      | a large put  | {}                         | RefusedError     |

  Scenario: A platform that is not there
    When the platform stops before a put
    Then the error is UnavailableError

  Scenario: A foreign token gets nothing
    When a get is made with a foreign token
    Then the error is RefusedError

  Scenario: A watch sees a change at once, a deletion, and nothing in time
    When a watch waits while "a/1" is created with "one"
    Then the watch brings "a/1"
    When a watch waits while "a/1" is deleted
    Then the watch tells that "a/1" is deleted
    When a watch waits in vain
    Then the watch brings nothing

  Scenario: Watches lag and repeat, the list of instances lags
    Given the faults {"watch_lag_seconds": 0.2, "watch_repeat": true}
    When "a/0" is created with "zero"
    And a watch waits while "a/1" is created with "one"
    Then the watch, repeating "a/0", brings "a/1"
    Given the faults {"list_lag_seconds": 30}
    When an instance "e1" is entered in the list
    Then no instance is listed
    When the faults are {}
    Then the instance "e1" is listed

  Scenario: Calls are counted, a waiting watch as one
    When a watch waits in vain
    And a get is made
    Then the count of "watch" is 1 and of "get" is 1
