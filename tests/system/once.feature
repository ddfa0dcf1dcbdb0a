Feature: a request with a key runs at most once, counted at the service

  Scenario: a resend through the other entry after the end
    Given a service that must not run a call twice, behind two entries
    When a keyed call goes through "entry-a" and is answered
    And a moment has passed
    And its resend goes through "entry-b"
    Then the answers were "200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: the same key at the same instant through both entries
    A caller's balancer sends a call twice at once, twenty times. Of the two
    claims only one write takes effect; the other caller is told so.
    Given a service that must not run a call twice, behind two entries
    When 20 keyed calls go through both entries at the same instant
    Then each was answered once with 200 and once with 409
    And the service ran each of them 1 time

  Scenario: everything but the platform and the service dies and starts anew
    The call runs at the service when entries and sides are killed. Nobody is
    left who knows of it, but its claim stands in the platform.
    Given a service that must not run a call twice, behind two entries
    When a keyed call of 3 s is sent through "entry-a"
    And all entries and sides are killed and started anew
    And its resend goes through "entry-b"
    Then the last answer is "409 request_in_progress"
    And the service ran it 1 time

  Scenario: during an outage of the platform nothing is run, after it once
    Given a service that must not run a call twice, behind two entries
    When the platform has an outage
    And a keyed call goes through "entry-a" and is answered
    And the outage ends
    And its resend goes through "entry-b"
    And a moment has passed
    And its resend goes through "entry-a"
    Then the answers were "503 not_run_platform_down, 200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: the claim takes effect while its reply is lost
    The platform writes the claim and cuts the connection. The entry reads
    back and finds its own attempt: the caller gets its answer, a resend none.
    Given a service that must not run a call twice, behind two entries
    When the platform loses the reply of the next write
    And a keyed call goes through "entry-a" and is answered
    And a moment has passed
    And its resend goes through "entry-b"
    Then the answers were "200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: an entry is cut off from the platform before the claim
    Given a service that must not run a call twice, behind two entries
    When "entry-a" is cut off from the platform
    And a keyed call goes through "entry-a" and is answered
    And its resend goes through "entry-b"
    And "entry-a" reaches the platform again
    And its resend goes through "entry-a"
    Then the answers were "503 not_run_platform_down, 200, 409 request_already_finished"
    And the service ran it 1 time

  Scenario: an entry's link falls silent while the call runs
    The call's end can't be written. Its caller gets the answer all the same;
    resends elsewhere are told "in progress" until the link is back.
    Given a service that must not run a call twice, behind two entries
    When a keyed call of 2 s is sent through "entry-a"
    And the link of "entry-a" to the platform freezes
    And the call is answered
    And its resend goes through "entry-b"
    And the link of "entry-a" to the platform thaws
    Then a resend through "entry-b" soon gets "409 request_already_finished"
    And the answers were "200, 409 request_in_progress"
    And the service ran it 1 time

  Scenario: a frozen entry thaws after its claim was taken for lost
    The only slot is taken when the call arrives, so it waits, claimed, at an
    entry that then freezes. A resend is told "in progress", and after the
    claim's time "outcome unknown". The thawed entry must not start the call
    any more; it says "not run" and frees the key.
    Given a service that must not run a call twice, behind two entries
    When the only slot and the places behind it are taken by calls of 3 s
    And a keyed call is sent through "entry-a" and waits
    And "entry-a" is frozen
    And its resend goes through "entry-b"
    And 40 s pass
    And its resend goes through "entry-b"
    And "entry-a" is thawed
    And the call is answered
    And its resend goes through "entry-b" when the key is free
    Then the answers were "409 request_in_progress, 502 outcome_unknown, 503 not_run_deadline, 200"
    And the service ran it 1 time
