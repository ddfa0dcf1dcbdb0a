Feature: Routing at one entry

  Background:
    Given an entry with a side of 1 free slot

  Scenario: A free side gets the request at once
    When pilot submits p1 of cost 5
    Then p1 is dispatched

  Scenario: Work that finds no free slot waits and is bid for
    Given agency submits a1 of cost 5
    When pilot submits p1 of cost 5
    Then the side hears a bid of pilot

  Scenario: The entry picks its lowest tag when a grant arrives
    Given agency submits a1 of cost 50
    And agency submits a2 of cost 50
    And pilot submits p1 of cost 5
    When the side grants 1
    Then p1 is dispatched
    And a2 still waits

  Scenario: A grant without waiting work is declined
    When the side grants 1
    Then grant 1 is declined

  Scenario: A refused request goes back in line and is never lost
    Given pilot submits p1 of cost 5
    When the side refuses p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: A request past its deadline was not run
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When 100 seconds pass at the entry
    Then p1 is rejected as not_run_deadline

  Scenario: Too much waiting work is refused at once
    Given agency submits a1 of cost 5
    And pilot fills its waiting line
    When pilot submits p9 of cost 5
    Then p9 is rejected as queue_full

  Scenario: An idempotent request is tried again when its server fails
    Given pilot submits p1 of cost 5
    When the server fails under p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: A request that ran once is never called "not run"
    The first server fails under an idempotent request, which waits for another
    try. No server takes it before its deadline. The caller must not read that
    it did not run: it ran once and failed.

    Given pilot submits p1 of cost 5
    When the server fails under p1
    And 100 seconds pass at the entry
    Then p1 is rejected as server_failed

  Scenario: A request that crashed two servers is refused at once
    Given a peer strikes print at server one
    And a peer strikes print at server two
    When pilot submits p1 of cost 5
    Then p1 is rejected as crashes_servers

  Scenario: A request sent on a load announcement is not lost when refused
    The side tells all entries of its free slot. Several send at once; the one
    that comes second is refused as busy and must wait again.

    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side announces 1 free slot
    And the side refuses p1
    And the side grants 1
    Then p1 is dispatched 2 times

  Scenario: Entries split what is left of a concurrency limit
    Two entries hold much work of one workspace that may run 100 at once. If
    each filled what is left before it hears of the other, the limit would be
    passed by as much.

    Given agency submits a1 of cost 5
    And a peer reports pilot with 96 running and 9 waiting
    And pilot fills its waiting line
    When the side announces 8 free slot
    Then 2 requests of pilot are dispatched

  Scenario: Waiting work is bid for at sides that have slots
    Four of the pool's five servers have died; their sides are linked and have
    no slots. A bid that only they heard would wait for its refresh, while
    others are served.
    Given sides d1 and d2 and d3 and d4 without slots
    And agency submits a1 of cost 5
    When pilot submits p1 of cost 5
    Then the side hears a bid of pilot
    And no side without slots hears one

  Scenario: An entry that links later hears which requests crash servers
    Given a peer strikes print at server one
    And a peer strikes print at server two
    When 1 seconds pass at the entry
    Then a new peer is told of print at servers one and two

  Scenario: A pool whose sides have no slots has no server
    The wire behind the only side is cut: the side is linked and has no slots.
    A request that waited for one would get no answer until its patience ends,
    a minute later; after a short grace it is told to come back.

    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side loses its slots
    And 3 seconds pass at the entry
    Then p1 is rejected as not_run_no_server

  Scenario: A server that is back within the grace keeps its waiting work
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When the side loses its slots
    And 1 seconds pass at the entry
    And the side announces 1 free slot
    Then p1 is dispatched

  Scenario: A request that waits long tells why, once for each reason
    Given agency submits a1 of cost 5
    And pilot submits p1 of cost 5
    When 2 seconds pass at the entry
    And 1 seconds pass at the entry
    Then p1 is told once to wait as no_slot
