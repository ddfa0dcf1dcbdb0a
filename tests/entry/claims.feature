Feature: A request with an idempotency key runs at most once

  Background:
    Given side "side-c" of pool "chart-api"
    And an entry
    And "side-c" returns status 200 and "warned"

  Scenario: A resend of a finished request gets an error that says so
    When a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete
    And the run request at "side-c" is not repeatable
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_already_finished" and the request may have run
    And "side-c" has received 1 run request

  Scenario: A key that was used with another request is rejected
    When a caller sends warning "ice" with key "k1"
    And a caller sends warning "fog" with key "k1"
    Then the error is 422 "idempotency_key_reused" and the request did not run
    And "side-c" has received 1 run request

  Scenario: A resend through another entry while the first request runs
    The caller times out and sends its warning again, and the load balancer
    passes it to another entry. Both entries try to create the same object in
    the platform; only the first one can.
    Given another entry "entry-b"
    And "side-c" delays its scripted response
    When a caller waits for warning "ice" with key "k1"
    And a caller sends through "entry-b" warning "ice" with key "k1"
    Then the error is 409 "request_in_progress" and the request may have run
    And the response has a Retry-After header
    When "side-c" sends what it delayed
    Then the waiting caller gets a complete response
    And "side-c" has received 1 run request

  Scenario: Many concurrent resends through two entries
    Given another entry "entry-b"
    When 10 callers send the same warning concurrently through both entries
    Then exactly one got status 200 and the others 409
    And "side-c" has received 1 run request

  Scenario: A claim is written but its response is lost
    The platform writes the claim and the response is lost. The entry reads the
    record back, finds its own attempt id and continues: the claim is its own.
    Given the platform loses the response to the next write
    When a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete
    And "side-c" has received 1 run request
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_already_finished" and the request may have run

  Scenario: The outcome is written but its response is lost
    Given the platform loses the response to the second write from now
    When a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete
    And the record of key "k1" eventually has state "finished"

  Scenario: No request with a key runs while the platform is down
    Given the platform is down
    When a caller sends warning "ice" with key "k1"
    Then the error is 503 "not_run_platform_down" and the request did not run
    And the response has a Retry-After header
    And no side has received a run request
    When the platform is back
    And a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete

  Scenario: A request that was not run may be sent again immediately
    Given all sides are busy
    When a caller sends warning "ice" with key "k1"
    Then the error is 503 "not_run_deadline" and the request did not run
    And there is no record of key "k1"
    When the sides have free slots again
    And a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete
    And "side-c" has received 1 run request

  Scenario: The release of a claim waits for the platform
    A request is claimed, waits, and reaches its deadline while the platform is
    down. The caller gets its response immediately. The claim is released in
    the background as soon as the platform is reachable again, so that a resend
    can run.
    Given all sides are busy
    When a caller waits for warning "ice" with key "k1"
    And the platform goes down
    Then the waiting caller gets error "not_run_deadline"
    When the platform is back
    Then the record of key "k1" is eventually deleted

  Scenario: An unknown outcome stays unknown for a resend
    Given "side-c" closes every connection
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and the request may have run
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and the request may have run
    And "side-c" has received 1 run request

  Scenario: The request of a disconnected caller is recorded
    Given "side-c" delays its scripted response
    When a caller disconnects after sending warning "ice" with key "k1"
    Then the record of key "k1" eventually has state "unknown"
    When a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and the request may have run
    And "side-c" has received 1 run request

  Scenario: A claim whose entry crashed expires
    An entry crashes while it holds a claim. Once the request can no longer
    run, a resend gets the error that its outcome is unknown. When the record
    expires, the key can be claimed again.
    Given an abandoned claim of warning "ice" with key "k1"
    When a caller sends warning "ice" with key "k1"
    Then the error is 409 "request_in_progress" and the request may have run
    When an hour has passed
    And a caller sends warning "ice" with key "k1"
    Then the error is 502 "outcome_unknown" and the request may have run
    When two days have passed
    And a caller sends warning "ice" with key "k1"
    Then the response has status 200 and is complete
