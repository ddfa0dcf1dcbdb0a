Feature: Requests that ran beside a crash wait for no more than they must

  Scenario: A request is not kept for a side whose server is gone
    Guards against callers that hang beside idle servers: the second attempt
    was kept from every side that had refused it for want of room, in favour
    of the side of a server that had died and has no slots.
    Given an entry with 4 sides of 1 free slot
    And pilot's p1 runs at one of them
    And another server has died
    When its server dies under p1 and its side loses its slots
    And the two sides that p1 is sent to refuse it
    And a second passes, and one of these grants a slot
    Then p1 runs there

  Scenario: A request that was refused is bid for again while it waits
    Guards against a wait for the next refresh of all bids: nobody else waits,
    the side that refused it has room since, and the bid is gone.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    When its server dies under p1 and its side loses its slots
    And the other side refuses it
    And 0.5 seconds pass at the entry
    Then the other side hears of p1 in this time

  Scenario: One that waits for another server holds up nobody behind it
    Guards against a whole workspace that waits behind its first request: this
    one must not go back to the server that failed it, the others may.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    And the other side is full
    When its server fails under p1
    And pilot submits p2 of cost 5
    And the side that failed p1 announces 1 free slot
    Then p2 runs there
    And p1 still waits for the other side

  Scenario: A suspected request waits a moment for what other entries know
    Guards against a third server that dies: the caller was told of the second
    crash by one entry, and is at another before the news of it.
    Given an entry with 2 sides of 1 free slot
    And a peer has told that p1 ran at a crash of server one
    When pilot submits p1
    Then p1 is not sent yet
    When a peer tells that p1 ran at a crash of server two
    And 0.1 seconds pass at the entry
    Then p1 is refused as crashes_servers and was never sent

  Scenario: A suspected request is sent when no entry knows more of it
    Given an entry with 2 sides of 1 free slot
    And a peer has told that p1 ran at a crash of server one
    When pilot submits p1
    And 0.1 seconds pass at the entry
    Then p1 is sent once

  Scenario: A request that ran to its end is no suspect at any entry
    Guards against innocent requests that are refused for minutes: another
    entry would count a crash that this one has forgotten, with the next one.
    Given an entry with 2 sides of 1 free slot
    And a peer has told that p1 ran at a crash of server one
    When pilot's p1 runs at one of them and has its whole answer
    Then all entries hear that it was not to blame for the crash of one
    When a peer tells the same, and that p1 ran at a crash of server two
    Then p1 is still served

  Scenario: A free side is used though another one is closed to the request
    Guards against work that waits beside an idle server because the first
    side that was looked at is closed to it.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    And the other side is full
    When its server fails under p1
    And the side that failed p1 announces 2 free slots, the other one 1
    Then p1 runs at the other side
