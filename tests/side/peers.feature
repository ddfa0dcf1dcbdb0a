Feature: Peers and operators of a side

  Scenario Outline: Calls without the peer secret are refused
    Given a side with 2 slots and its configuration
    When <method> <path> is called with <secret>
    Then the call is refused with status 403
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
    limits yet; it refuses, so that the entry can send the request elsewhere.
    Given a side that has no configuration
    Then operators see that it is not ready
    When a run request for "/echo" with body "early" is sent
    Then the run request is refused with status 409 for "no_configuration"
    Given an entry linked to the side
    When the entry sends the configuration of revision 5
    Then operators see that it is ready
    And the entry receives the digest of revision 5

  Scenario: A linked entry receives the load, bids and declines
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    Then the entry receives a load with 2 free slots
    When the entry bids for workspace "pilots"
    Then the entry receives grant 7
    When the entry declines grant 7
    Then the admission object has received "decline entry-1 7"

  Scenario: Bids carried by a run request are processed after it
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When a run request for "/echo" with bids for workspace "agency" is sent
    Then the entry receives grant 7

  Scenario: An entry whose link closes loses its bids and grants
    The link breaks. Slots reserved for the entry would be idle until the grant
    expires, and bids of a crashed entry would win grants indefinitely.
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry's link is closed
    Then the admission object has received "lost entry-1"

  Scenario: An entry that is behind receives what it lacks
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry sends a digest of revision 0
    Then the entry receives the configuration of revision 1

  Scenario: A side that is behind sends its own digest
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When the entry sends a digest of revision 9
    Then the entry receives the digest of revision 1

  Scenario Outline: Operators read the side's state
    Given a side with 2 slots and its configuration
    When an operator reads <path>
    Then the text contains "<text>"
    And the text does not contain "winter-harbour"

    Examples:
      | path     | text                                  |
      | /healthz | ok                                    |
      | /readyz  | ready                                 |
      | /metrics | sardinetrack_side_limit_slots 2.0     |
      | /status  | "incarnation":"side-1-second"         |
      | /config  | "backend_server":"galata-3"           |

  Scenario: Operators read a decision line for each run request
    Given a side with 2 slots and its configuration
    When a run request for "/echo" with body "x" is sent
    Then the decision "start" is logged with
      | workspace | pool      | backend_server | reason    | attempt_id |
      | pilots    | chart-api | galata-3       | free slot | a1         |
    And the decision "end" is logged with
      | workspace | pool      | backend_server | reason            | attempt_id |
      | pilots    | chart-api | galata-3       | complete response | a1         |
