Feature: Entries, sides and the platform stay in step

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry
    And "side-c" answers with status 200 and "chart"

  Scenario: Sides learn the configuration from entries only
    Then "side-c" knows catalogue key "catalogue/pool/chart-api" in time
    When an operator adds pool "new-api"
    Then "side-c" knows catalogue key "catalogue/pool/new-api" in time
    And the entry serves service "new-api" in time

  Scenario Outline: An entry that can't read the catalogue learns from another
    Of two entries the one with the lesser name dials, so both directions are
    tried.
    Given the platform's catalogue can't be read
    When entry "<name>" starts
    Then that entry has the configuration of "entry-a" in time

    Examples:
      | name    |
      | entry-0 |
      | entry-z |

  Scenario: Entries tell each other of their configuration and service
    Given another entry "entry-z"
    Then "entry-a" and "entry-z" show each other's revision in time

  Scenario: A side that is leaving gets no new work
    The platform's list says that the side leaves. What runs there goes on to
    its end; a request that comes afterwards waits for another side.
    Given "side-c" holds what it answers
    And a caller waits for "/services/chart-api/charts"
    When the platform lists "side-c" as leaving
    Then the entry uses "side-c" no more in time
    When a caller sends GET to "/services/chart-api/charts" with body ""
    Then the error did not run
    When the platform forgets "side-c"
    And "side-c" lets go
    Then all waiting callers get their whole answers
    And "side-c" has received 1 order

  Scenario: A frozen side does not hold its callers for ever
    The side's process is stopped in the middle of a request: its connections
    stay open and silent. Its link falls silent first; after that the entry
    asks, gets no answer, and tells the caller that the outcome is unknown.
    Given "side-c" holds what it answers
    And a caller waits for "/services/chart-api/warn" to be sent
    When the link of "side-c" is cut for good
    Then the waiting caller is told "outcome_unknown"

  Scenario: A connection that stays open and dead while the link comes back
    A switch forgets the flows through it. The link is dialled anew, the order's
    own connection is neither read nor broken: its caller would wait for the
    longest run of the pool. The entry asks the side, which is done with the
    attempt, and tells the caller what is known.
    Given "side-c" holds what it answers
    And the sides answer questions with "finished"
    And the sides answer questions with "finished"
    And a caller waits for "/services/chart-api/warn" to be sent
    When the link of "side-c" breaks and comes back
    Then the waiting caller is told "outcome_unknown"
    And "side-c" was asked first without being told to stop

  Scenario: An answer that still comes is waited for when the link came back
    The link breaks alone. The side is asked about the silent attempt and
    still runs it: the caller gets the whole answer when it is ready.
    Given "side-c" holds what it answers
    And the sides answer questions with "running"
    And the sides answer questions with "running"
    And a caller waits for "/services/chart-api/warn" to be sent
    When the link of "side-c" breaks and comes back
    And "side-c" was asked 2 times about the attempt
    And "side-c" lets go
    Then the waiting caller gets its whole answer
    And "side-c" has received 1 order

  Scenario: Only peers may ask a peer endpoint
    When somebody without the secret asks "/peer/v1/status"
    Then the error is 403 "peer_refused" and did not run
    When somebody with the secret asks "/peer/v1/status"
    Then the status names "entry-a"
    When somebody with the secret asks "/peer/v1/other"
    Then the error is 404 "unknown_path" and did not run

  Scenario Outline: Operators see what they need
    When an operator asks "<path>"
    Then the answer has status 200 and is whole
    And the answer's body mentions "<text>"

    Examples:
      | path     | text                      |
      | /healthz | ok                        |
      | /readyz  | ready                     |
      | /metrics | sardinetrack_entry_linked |
      | /status  | side-c-server             |
      | /config  | keep_alive_seconds        |

  Scenario: Secrets don't show in the settings
    When an operator asks "/config"
    Then the answer's body does not mention "fleet"

  Scenario: An entry is not ready before it has a configuration
    Given the platform is down
    When an entry starts that knows nothing
    Then that entry is not ready because "no configuration is in force"
