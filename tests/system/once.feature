Feature: a call with an idempotency key runs at most once

  A keyed call is a call with an idempotency key. The service counts how often
  it runs each.

  Scenario: a resend through the other entry after the end
    Given a service that must not run a call twice, behind two entries
    When a keyed call is made through "entry-a"
    And one second has passed
    And it is sent again through "entry-b"
    Then the responses were "200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: the same key at the same time through both entries
    A caller's balancer sends a call twice at the same time, with twenty keys.
    Only one of the two claims is written; the other caller gets an error.
    Given a service that must not run a call twice, behind two entries
    When 20 keyed calls are sent through both entries at the same time
    Then each got one 200 and one 409
    And the service ran each of them 1 time

  Scenario: all processes but the platform and the service crash and restart
    The call runs at the service when entries and sides are killed. No process
    is left that has state of it, but its claim is stored in the platform.
    Given a service that must not run a call twice, behind two entries
    When a keyed call of 3 s is sent through "entry-a"
    And all entries and sides are killed and started again
    And it is sent again through "entry-b"
    Then the last response is "409 request_in_progress"
    And the service ran it 1 time

  Scenario: nothing runs during an outage of the platform, and once after it
    Given a service that must not run a call twice, behind two entries
    When the platform has an outage
    And a keyed call is made through "entry-a"
    And the outage ends
    And it is sent again through "entry-b"
    And one second has passed
    And it is sent again through "entry-a"
    Then the responses were "503 not_run_platform_down, 200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: the claim takes effect while its response is lost
    The platform writes the claim and closes the connection. The entry reads
    the claim back and finds its own attempt: the caller gets the response of
    the service, a resend an error.
    Given a service that must not run a call twice, behind two entries
    When the platform loses the response to the next write
    And a keyed call is made through "entry-a"
    And one second has passed
    And it is sent again through "entry-b"
    Then the responses were "200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: an entry is disconnected from the platform before the claim
    Given a service that must not run a call twice, behind two entries
    When "entry-a" is disconnected from the platform
    And a keyed call is made through "entry-a"
    And it is sent again through "entry-b"
    And "entry-a" can reach the platform again
    And it is sent again through "entry-a"
    Then the responses were "503 not_run_platform_down, 200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: an entry's connection to the platform freezes while the call runs
    The call's end can't be written. Its caller gets the response nevertheless;
    resends through the other entry get "in progress" until the connection
    works again.
    Given a service that must not run a call twice, behind two entries
    When a keyed call of 2 s is sent through "entry-a"
    And the network path of "entry-a" to the platform freezes
    And the response to the call arrives
    And it is sent again through "entry-b"
    And the network path of "entry-a" to the platform thaws
    Then within 10 s a resend through "entry-b" gets "409 request_already_finished"
    And the responses were "200, 409 request_in_progress"
    And the service ran it 1 time

  Scenario: a suspended entry resumes after the deadline of its claim
    The only slot is occupied when the call arrives, so it is queued, with its
    claim written, at an entry that is then suspended. A resend gets "in
    progress" and, once the claim's deadline has passed, "outcome unknown". The
    resumed entry must not start the call any more; it responds "not run" and
    frees the key.
    Given a service that must not run a call twice, behind two entries
    When calls of 3 s occupy the only slot and the queue behind it
    And a keyed call is sent through "entry-a" and is queued
    And "entry-a" is suspended
    And it is sent again through "entry-b"
    And 40 s pass
    And it is sent again through "entry-b"
    And "entry-a" is resumed
    And the response to the call arrives
    And it is sent again through "entry-b" until the key is free
    Then the responses were "409 request_in_progress, 502 outcome_unknown, 503 not_run_deadline, 200"
    And the service ran it 1 time
