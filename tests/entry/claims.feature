Feature: A request with an idempotency key runs at most once

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry
    And "side-c" answers with status 200 and "warned"

  Scenario: A resend of a finished request is told so
    When a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole
    And the order at "side-c" may not be repeated
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_already_finished" and may have run
    And "side-c" has received 1 order

  Scenario: A key used with another request is refused
    When a caller sends warning "ice" with key "k1"
    And a caller sends warning "fog" with key "k1"
    Then the error is 422 "idempotency_key_reused" and did not run
    And "side-c" has received 1 order

  Scenario: A resend through another entry while the first one runs
    The caller loses patience and sends its warning again, and the balancer
    gives it to another entry. Both entries try to create the same object in
    the platform; only the first one can.
    Given another entry "entry-b"
    And "side-c" holds what it answers
    When a caller waits for warning "ice" with key "k1"
    And a caller sends through "entry-b" warning "ice" with key "k1"
    Then the error is 409 "request_in_progress" and may have run
    And the answer tells when to come back
    When "side-c" lets go
    Then the waiting caller gets its whole answer
    And "side-c" has received 1 order

  Scenario: Many resends at the same instant through two entries
    Given another entry "entry-b"
    When 10 callers send the same warning at once through both entries
    Then exactly one got status 200 and the others 409
    And "side-c" has received 1 order

  Scenario: The claim takes effect while its reply is lost
    The platform writes the claim and the reply is lost. The entry reads back,
    finds its own attempt's id and goes on: the claim is its own.
    Given the platform loses the reply to the next write
    When a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole
    And "side-c" has received 1 order
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_already_finished" and may have run

  Scenario: The record's end takes effect while its reply is lost
    Given the platform loses the reply to the second write from now
    When a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole
    And the record of key "k1" says "finished" in time

  Scenario: While the platform is down nothing with a key runs
    Given the platform is down
    When a caller sends warning "ice" with key "k1"
    Then the error is 503 "not_run_platform_down" and did not run
    And the answer tells when to come back
    And no side has received an order
    When the platform is back
    And a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole

  Scenario: A request that was not run may be sent again at once
    Given all sides are busy
    When a caller sends warning "ice" with key "k1"
    Then the error is 503 "not_run_deadline" and did not run
    And there is no record of key "k1"
    When the sides have slots again
    And a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole
    And "side-c" has received 1 order

  Scenario: The release waits for the platform
    A request is claimed, waits, and is given up while the platform is down.
    The caller has its answer at once. The claim is released in the background
    as soon as the platform is back, so that a resend can run.
    Given all sides are busy
    When a caller waits for warning "ice" with key "k1"
    And the platform goes down
    Then the waiting caller is told "not_run_deadline"
    When the platform is back
    Then the record of key "k1" is gone in time

  Scenario: An outcome that nobody knows stays unknown for a resend
    Given "side-c" breaks off whatever comes
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and may have run
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and may have run
    And "side-c" has received 1 order

  Scenario: A caller that vanishes finds its running request on record
    Given "side-c" holds what it answers
    When a caller vanishes after warning "ice" with key "k1"
    Then the record of key "k1" says "unknown" in time
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and may have run
    And "side-c" has received 1 order

  Scenario: A claim whose entry died is not held for ever
    An entry dies with its claim. Once the request can't run any longer a
    resend is told that its outcome is unknown; it never runs again.
    Given a claim of warning "ice" with key "k1" that nobody ends
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_in_progress" and may have run
    When an hour has passed
    And a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and may have run
    When two days have passed
    And a caller sends warning "ice" with key "k1"
    Then the answer has status 200 and is whole
