Feature: Routing decisions of one entry

  Background:
    Given an entry with a side of 1 free slot

  Scenario: A request goes to a side with a free slot immediately
    When pilot submits p1 of cost 5
    Then p1 is dispatched

  Scenario: A request without a free slot is queued, and bids are sent for it
    Given agency submits a1 of cost 5
    When pilot submits p1 of cost 5
    Then the side receives a bid of pilot

  Scenario: A grant goes to the workspace with the lowest tag
    Given agency submits a1 of cost 50
    And agency submits a2 of cost 50
    And pilot submits p1 of cost 5
    When the side grants 1
    Then p1 is dispatched
    And a2 is still queued

  Scenario: A grant without queued requests is declined
    When the side grants 1
    Then grant 1 is declined

  Scenario: A request that a side refuses is queued again
    Given pilot submits p1 of cost 5
    When the side refuses p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: A request past its deadline is rejected as not run
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When 100 seconds pass at the entry
    Then p1 is rejected as not_run_deadline

  Scenario: Requests beyond the queue limit are rejected immediately
    Given agency submits a1 of cost 5
    And pilot fills its queue
    When pilot submits p9 of cost 5
    Then p9 is rejected as queue_full

  Scenario: An idempotent request is retried when its server fails
    Given pilot submits p1 of cost 5
    When the server fails while it runs p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: A request that ran once is never reported as "not run"
    A server fails while it runs an idempotent request, which is queued for a
    retry. No server takes it before its deadline. The error must not say that
    it did not run: it ran once and failed.

    Given pilot submits p1 of cost 5
    When the server fails while it runs p1
    And 100 seconds pass at the entry
    Then p1 is rejected as server_failed

  Scenario: A request that crashed two servers is rejected immediately
    Given a peer reports a strike against print at server one
    And a peer reports a strike against print at server two
    When pilot submits p1 of cost 5
    Then p1 is rejected as crashes_servers

  Scenario: A request sent after a load report is not lost when refused
    The side reports its free slot to all entries. Several entries send a
    request at the same time; the second one to arrive is refused as busy and
    must be queued again.

    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side reports 1 free slot
    And the side refuses p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: Entries split what is left of a concurrency limit
    Two entries have many queued requests of one workspace that may run 100
    concurrently. If each entry used all that is left before it receives the
    report of the other, the limit would be exceeded by as much.

    Given agency submits a1 of cost 5
    And a peer reports pilot with 96 running and 9 waiting
    And pilot fills its queue
    When the side reports 8 free slot
    Then 2 requests of pilot are dispatched

  Scenario: Bids go to sides that have slots
    Four of the pool's five servers have crashed; their sides are linked and
    have no slots. A bid sent only to them would wait for its refresh, while
    others are served.
    Given sides d1 and d2 and d3 and d4 without slots
    And agency submits a1 of cost 5
    When pilot submits p1 of cost 5
    Then the side receives a bid of pilot
    And no side without slots receives a bid

  Scenario: An entry that links later receives the active strikes
    Given a peer reports a strike against print at server one
    And a peer reports a strike against print at server two
    When 1 seconds pass at the entry
    Then a new peer receives the strikes against print at servers one and two

  Scenario: A pool whose sides have no slots rejects requests
    The network between the only side and its server is interrupted: the side
    is linked and has no slots. A request queued for it would get no response
    until its deadline, a minute later; it is rejected after a short grace
    period instead.

    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side loses its slots
    And 3 seconds pass at the entry
    Then p1 is rejected as not_run_no_server

  Scenario: A server that is back within the grace period keeps its queue
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side loses its slots
    And 1 seconds pass at the entry
    And the side reports 1 free slot
    Then p1 is dispatched

  Scenario: A request that waits long is reported once for each reason
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When 2 seconds pass at the entry
    And 1 seconds pass at the entry
    Then one notice reports that p1 waits because of no_slot
