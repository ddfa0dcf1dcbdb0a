Feature: Entries, sides and the platform stay in sync

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry
    And "side-c" returns status 200 and "chart"

  Scenario: Sides receive the configuration from entries only
    Then "side-c" eventually has catalogue key "catalogue/pool/chart-api"
    When an operator adds pool "new-api"
    Then "side-c" eventually has catalogue key "catalogue/pool/new-api"
    And the entry eventually serves service "new-api"

  Scenario Outline: An entry that can't read the catalogue receives it from another entry
    Of two entries the one with the lesser name dials, so both directions are
    tested.
    Given the platform's catalogue can't be read
    When entry "<name>" starts
    Then that entry eventually has the configuration of "entry-a"

    Examples:
      | name    |
      | entry-0 |
      | entry-z |

  Scenario: Entries exchange the revision of their configuration
    Given another entry "entry-z"
    Then "entry-a" and "entry-z" eventually show each other's revision

  Scenario: A side that is draining gets no new requests
    The platform's list says that the side is draining. Its running requests
    continue to their end; a request that arrives afterwards waits for another
    side.
    Given "side-c" delays its scripted response
    And a caller waits for "/services/chart-api/charts"
    When the platform lists "side-c" as leaving
    Then the entry eventually stops using "side-c"
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the error says that the request did not run
    When the platform removes "side-c"
    And "side-c" sends what it delayed
    Then all waiting callers get complete responses
    And "side-c" has received 1 run request

  Scenario: A suspended side does not block its callers indefinitely
    The side's process is suspended during a request: its connections stay
    open and silent. Its link falls silent first. After that the entry queries
    the attempt, gets no response, and the caller gets the error that the
    outcome is unknown.
    Given "side-c" delays its scripted response
    And a caller waits for "/services/chart-api/warn" and the side has received it
    When the link of "side-c" is closed permanently
    Then the waiting caller gets error "outcome_unknown"

  Scenario: A connection that stays open and silent while the link is restored
    A switch drops the flows through it. The link is dialed again, while the
    run request's own connection neither delivers data nor breaks: its caller
    would wait for the maximum run time of the pool. The entry queries the
    side, which has ended the attempt, and the caller gets what is known.
    Given "side-c" delays its scripted response
    And the sides respond to status queries with "finished"
    And the sides respond to status queries with "finished"
    And a caller waits for "/services/chart-api/warn" and the side has received it
    When the link of "side-c" breaks and is restored
    Then the waiting caller gets error "outcome_unknown"
    And "side-c" was first queried without a cancel

  Scenario: A response is still awaited after the link was restored
    Only the link breaks. The side is queried about the silent attempt and
    still runs it: the caller gets the complete response when it is ready.
    Given "side-c" delays its scripted response
    And the sides respond to status queries with "running"
    And the sides respond to status queries with "running"
    And a caller waits for "/services/chart-api/warn" and the side has received it
    When the link of "side-c" breaks and is restored
    And "side-c" has received 2 status queries
    And "side-c" sends what it delayed
    Then the waiting caller gets a complete response
    And "side-c" has received 1 run request

  Scenario: Only peers may use the peer endpoint
    When a request without the peer secret is sent to "/peer/v1/status"
    Then the error is 403 "peer_refused" and the request did not run
    When a request with the peer secret is sent to "/peer/v1/status"
    Then the status names "entry-a"
    When a request with the peer secret is sent to "/peer/v1/other"
    Then the error is 404 "unknown_path" and the request did not run

  Scenario Outline: The operators' pages are served
    When an operator requests "<path>"
    Then the response has status 200 and is complete
    And the response body contains "<text>"

    Examples:
      | path     | text                      |
      | /healthz | ok                        |
      | /readyz  | ready                     |
      | /metrics | sardinetrack_entry_linked |
      | /status  | side-c-server             |
      | /config  | keep_alive_seconds        |

  Scenario: Secrets are masked in the settings
    When an operator requests "/config"
    Then the response body does not contain "fleet"

  Scenario: An entry is not ready before it has a configuration
    Given the platform is down
    When an entry starts without any configuration
    Then that entry is not ready because "no configuration is in force"
