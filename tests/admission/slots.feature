Feature: Admission at one side

  Scenario: A free slot starts a request immediately
    Given a side with 1 slot
    When entry a sends attempt a1 with tag 0
    Then a1 is started

  Scenario: A full side refuses a request that has no grant
    Given a side with 1 slot
    When entry a sends attempt a1 with tag 0
    And entry b sends attempt b1 with tag 0
    Then b1 is refused as busy
    And the status of b1 is not_started

  Scenario: A freed slot is granted to the lowest tag
    Given a side with 1 slot
    And entry a sends attempt a1 with tag 0
    And entry a bids pilot 5 times at tag 20
    And entry b bids agency 5 times at tag 10
    When a1 finishes
    Then entry b has grant 1

  Scenario: A lost grant frees its slot for the next bid
    Given a side with 1 slot
    And entry a bids pilot 1 times at tag 0
    And entry a has grant 1
    And entry b bids agency 5 times at tag 10
    When 3 seconds pass
    Then entry b has grant 1

  Scenario: An unseen attempt whose status was queried never starts
    The entry's connection breaks before its run request reaches the side. The
    entry queries the status, gets "not started" and reports that to its caller.
    The run request, delayed in the network, arrives afterwards; the side must
    refuse it because of its tombstone.

    Given a side with 1 slot
    When the status of a1 is not_started
    And entry a sends attempt a1 with tag 0
    Then a1 is refused as tombstoned

  Scenario: A draining side accepts nothing new and finishes what runs
    Given a side with 2 slots
    And entry a sends attempt a1 with tag 0
    When the side drains
    And entry a sends attempt a2 with tag 0
    Then a2 is refused as draining
    And the status of a1 is running

  Scenario: Two requests that were running at a crash never share a server
    A request crashed its server; those running beside it got a strike too. All
    callers send again, through different entries. If two of the requests met on
    the next server and it crashed, the harmless one would be refused for
    minutes.

    Given a side with 2 slots
    When entry a sends the suspect attempt a1
    And entry b sends the suspect attempt b1
    Then a1 is started
    And b1 is refused as busy
    When a1 finishes
    And entry b sends the suspect attempt b2
    Then b2 is started

  Scenario: A side whose server has stopped announces it immediately
    The server stops. Entries that still count on its slots would send their
    bids to this side and to no other, and the requests would wait for nothing.

    Given a side with 2 slots
    When the server's slots change to 0
    Then the load is announced immediately

  Scenario: A rest refuses queued requests and stops grants
    A granted request waits at the side for a slot when its server asks for
    rest. It is refused as not started, so that the entry can use another
    server; the running one goes on.

    Given a side with 1 slot
    And entry a bids pilot 1 times at tag 0
    And entry a has grant 1
    And the server's slots change to 0
    And entry a sends attempt a1 with grant 1
    When the server's rest begins
    Then a1 is refused as resting
    And the load is announced immediately
    And the status of a1 is not_started

  Scenario: A rest leaves running requests alone and ends with all slots
    Given a side with 2 slots
    And entry a sends attempt a1 with tag 0
    When the server's rest begins
    And entry b sends attempt b1 with tag 0
    Then b1 is refused as resting
    And the status of a1 is running
    And the side offers 0 of 0 slots
    When entry b bids pilot 3 times at tag 0
    And a1 finishes
    And 1 seconds pass
    Then no grant is sent
    When the server's rest ends
    Then entry b has grant 2
    And the load is announced immediately
    And the side offers 0 of 2 slots

  Scenario: A side whose server rests and whose slots change meanwhile
    Given a side with 1 slot
    When the server's rest begins
    And the server's slots change to 3
    Then the side offers 0 of 0 slots
    When the server's rest ends
    Then the side offers 3 of 3 slots

  Scenario: A rest does not end a drain
    Given a side with 1 slot
    When the server's rest begins
    And the side drains
    And the server's rest ends
    And entry a sends attempt a1 with tag 0
    Then a1 is refused as draining
