Feature: Admission at one side

  Scenario: A free slot starts a request at once
    Given a side with 1 slot
    When entry a sends attempt a1 with tag 0
    Then a1 is started

  Scenario: A full side refuses a request that has no grant
    Given a side with 1 slot
    When entry a sends attempt a1 with tag 0
    And entry b sends attempt b1 with tag 0
    Then b1 is refused as busy
    And the fate of b1 is not_started

  Scenario: A freed slot is granted to the lowest tag
    Given a side with 1 slot
    And entry a sends attempt a1 with tag 0
    And entry a bids pilot 5 times at tag 20
    And entry b bids agency 5 times at tag 10
    When a1 finishes
    Then entry b holds grant 1

  Scenario: A lost grant frees its slot for the next bid
    Given a side with 1 slot
    And entry a bids pilot 1 times at tag 0
    And entry a holds grant 1
    And entry b bids agency 5 times at tag 10
    When 3 seconds pass
    Then entry b holds grant 1

  Scenario: An unseen attempt that was asked for never starts
    The entry's connection breaks before its order reaches the side. The entry
    asks, hears "not started" and tells its caller so. The order, delayed in
    the network, arrives afterwards; it must find its tombstone.

    Given a side with 1 slot
    When the fate of a1 is not_started
    And entry a sends attempt a1 with tag 0
    Then a1 is refused as tombstoned

  Scenario: A draining side takes nothing new and finishes what runs
    Given a side with 2 slots
    And entry a sends attempt a1 with tag 0
    When the side drains
    And entry a sends attempt a2 with tag 0
    Then a2 is refused as draining
    And the fate of a1 is running

  Scenario: Two requests that were running at a crash never share a server
    A request crashed its server; those running beside it were struck too.
    All callers resend, through different entries. If two of them met on the
    next server and it crashed, the innocent one would be refused for minutes.

    Given a side with 2 slots
    When entry a sends the suspect attempt a1
    And entry b sends the suspect attempt b1
    Then a1 is started
    And b1 is refused as busy
    When a1 finishes
    And entry b sends the suspect attempt b2
    Then b2 is started

  Scenario: A side whose server is gone says so at once
    The server dies. Entries that still believe in its slots would send their
    bids to this side and to no other, and the work would wait for nothing.

    Given a side with 2 slots
    When the server's slots become 0
    Then the load is announced at once
