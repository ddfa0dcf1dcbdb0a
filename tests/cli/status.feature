Feature: The status of the fleet

  Background:
    Given a platform with the instances
      | instance | page | revision |
    And operator settings for that platform

  Scenario: All listed instances are shown with slots and waiting requests
    Given the entry "entry-1" at revision 7 with 3 waiting and 2 running requests in pool "ice-llm"
    And the entry "entry-2" at revision 8 with 4 waiting and 1 running requests in pool "ice-llm"
    And the side "side-1" at revision 8 with 3 of 8 slots in use
    When "sardinetrack status OPERATOR" is run
    Then the exit code is 0
    And the output has the rows
      | INSTANCE entry-1 | ROLE entry | FAILURE DOMAIN galata     | STATE ready | REVISION 7 | DIGEST d7 |
      | INSTANCE entry-2 | ROLE entry | FAILURE DOMAIN galata     | STATE ready | REVISION 8 | DIGEST d8 |
      | INSTANCE side-1  | ROLE side  | FAILURE DOMAIN galata     | STATE ready | REVISION 8 | DIGEST d8 |
    And the output has the rows
      | SIDE side-1 | POOL ice-llm | BACKEND SERVER engine-1 | PHASE serving | LIMIT 8 | RUNNING 3 | FREE 5 |
    And the output has the rows
      | POOL ice-llm | WAITING 7 | RUNNING 3 |

  Scenario: An instance that does not respond is listed with the reason
    One instance has crashed; the platform's list lags and still contains it.
    The operator must see its row, with the reason why it has no status, beside
    the rows of the others.

    Given the entry "entry-1" at revision 7 with 0 waiting and 0 running requests in pool "ice-llm"
    And the listed instance "side-9" that responds with "{}"
    And the listed instance "side-8" that has crashed
    When "sardinetrack status OPERATOR" is run
    Then the exit code is 0
    And the output mentions "entry-1"
    And the output mentions "side-9"
    And the output mentions "the response is not a status page of this version"
    And the output mentions "side-8"
    And the output mentions "no response"

  Scenario: A refused catalogue entry is shown with its reason
    Given the entry "entry-1" that rejects "catalogue/pool/x" because "models: taken"
    When "sardinetrack status OPERATOR" is run
    Then the output has the rows
      | NOT IN FORCE catalogue/pool/x | VERSION 5 | AT entry-1 | REASON models: taken |

  Scenario: The pages of all instances can be printed as received
    Given the entry "entry-1" at revision 7 with 3 waiting and 2 running requests in pool "ice-llm"
    And the listed instance "side-8" that has crashed
    When "sardinetrack status OPERATOR --json" is run
    Then the exit code is 0
    And the output lists "entry-1" with a page at revision 7
    And the output lists "side-8" with the problem "no response"

  Scenario: An entry shows the sides that are linked with it
    Given the entry "entry-1" at revision 7 with 3 waiting and 2 running requests in pool "ice-llm"
    When the status of "entry-1" alone is read
    Then the exit code is 0
    And the output has the rows
      | SIDE side-1 | POOL ice-llm | BACKEND SERVER engine-1 | PHASE leaving | LIMIT 8 | RUNNING 2 | FREE 6 |
    And the output has the rows
      | POOL ice-llm | WAITING 3 | RUNNING 2 |

  Scenario: A platform outage is an error
    Given the platform has an outage
    When "sardinetrack status OPERATOR" is run
    Then the exit code is 1
    And the error output mentions "the platform gave no list"
    And there is no traceback

  Scenario: An empty list is an error
    When "sardinetrack status OPERATOR" is run
    Then the exit code is 1
    And the error output mentions "the platform lists no instance"
