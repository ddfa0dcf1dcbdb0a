Feature: Peers and operators of a side

  Scenario Outline: Nobody gets in without the peer secret
    Given a side with 2 slots and its configuration
    When a stranger calls <method> <path> with <secret>
    Then the stranger gets status 403
    And the backend server has run nothing

    Examples:
      | method | path                | secret          |
      | POST   | /peer/v1/run        | no secret       |
      | POST   | /peer/v1/run        | a wrong secret  |
      | POST   | /peer/v1/attempts/a | no secret       |
      | GET    | /peer/v1/status     | a caller's token |
      | GET    | /elsewhere          | no secret       |

  Scenario: A side without configuration is not ready and runs nothing
    The side starts while no entry is linked. It does not know its pool's
    bounds yet; it refuses, so that the entry can send the work elsewhere.
    Given a side that has no configuration
    Then operators see that it is not ready
    When an order for "/echo" brings "early"
    Then the order is refused with status 409 for "no_configuration"
    Given an entry linked to the side
    When the entry sends the configuration of revision 5
    Then operators see that it is ready
    And the entry hears the digest of revision 5

  Scenario: A linked entry is greeted, bids and declines
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    Then the entry hears a load with 2 free slots
    When the entry bids for workspace "pilots"
    Then the entry receives grant 7
    When the entry declines grant 7
    Then the decision object has seen "decline entry-1 7"

  Scenario: Bids that ride on an order reach the decision after it
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When an order for "/echo" brings bids for workspace "agency"
    Then the entry receives grant 7

  Scenario: An entry that is cut off loses its bids and grants
    The link breaks. Slots set aside for the entry would idle until the grant
    expires, and bids of a dead entry would win grants for ever.
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry's link is cut
    Then the decision object has seen "lost entry-1"

  Scenario: An entry that is behind receives what it lacks
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry sends a digest of revision 0
    Then the entry hears the configuration of revision 1

  Scenario: A side that is behind asks by its own digest
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry sends a digest of revision 9
    Then the entry hears the digest of revision 1

  Scenario Outline: Operators read the side's state
    Given a side with 2 slots and its configuration
    When an operator reads <path>
    Then the text holds "<text>"
    And the text does not hold "winter-harbour"

    Examples:
      | path     | text                                  |
      | /healthz | ok                                    |
      | /readyz  | ready                                 |
      | /metrics | sardinetrack_side_limit_slots 2.0     |
      | /status  | "incarnation":"side-1-second"         |
      | /config  | "backend_server":"galata-3"           |

  Scenario: Operators read a decision line for each order
    Given a side with 2 slots and its configuration
    When an order for "/echo" brings "x"
    Then the decision "start" is logged with
      | workspace | pool      | backend_server | reason    | attempt_id |
      | pilots    | chart-api | galata-3       | free slot | a1         |
    And the decision "end" is logged with
      | workspace | pool      | backend_server | reason       | attempt_id |
      | pilots    | chart-api | galata-3       | whole answer | a1         |
