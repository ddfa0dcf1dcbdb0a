Feature: Requests that were running at a crash are not delayed needlessly

  Scenario: A request does not wait for a side whose server has crashed
    Guards against callers that wait while servers are idle: the retry was
    excluded from every side that had refused it for lack of free slots, in
    favour of the side of a crashed server, which has no slots.
    Given an entry with 4 sides of 1 free slot
    And pilot's p1 runs at one of them
    And another server has crashed
    When its server crashes while it runs p1 and its side loses its slots
    And the two sides that p1 is sent to refuse it
    And a second passes, and one of these grants a slot
    Then p1 runs there

  Scenario: Bids for a refused request are repeated while it is queued
    Guards against a wait for the next refresh of all bids: no other request
    is queued, the side that refused it now has a free slot, and its bid has
    been used up.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    When its server crashes while it runs p1 and its side loses its slots
    And the other side refuses it
    And 0.5 seconds pass at the entry
    Then the other side receives another bid for p1 in this time

  Scenario: A request that waits for another server does not block its queue
    Guards against a workspace whose queue waits behind its first request: that
    request must not return to the server at which it failed, the others may.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    And the other side is full
    When its server fails while it runs p1
    And pilot submits p2 of cost 5
    And the side at which p1 failed reports 1 free slot
    Then p2 runs there
    And p1 is still queued for the other side

  Scenario: An error response is sent after other entries have the strike
    Guards against the crash of a third server: one entry responded to the
    caller after the second crash, and the caller retried at another entry
    before that had received the strike.
    Given an entry with 2 sides of 1 free slot
    And the entries b and c are linked
    When servers crash while they run p1 at one side and then at the other
    And b has acknowledged both strikes, and c the first one
    And 3 seconds pass at the entry
    Then the response to p1 waits for the acknowledgement of c
    When c has acknowledged the second strike
    Then p1 gets the error server_failed after 2 attempts

  Scenario: An entry that links again receives the strike before the response
    Guards against the same fault through an entry whose link was down: it must
    also acknowledge the strikes that it receives when it links again.
    Given an entry with 2 sides of 1 free slot
    And the entries b and c are linked
    When servers crash while they run p1 at one side and then at the other
    And the link to c breaks and comes back
    And b has acknowledged both strikes, and c the first one
    Then the response to p1 waits for the acknowledgement of c
    When c has acknowledged all strikes received when it linked
    Then p1 gets the error server_failed after 2 attempts

  Scenario: A response does not wait for an entry whose link is down
    Given an entry with 2 sides of 1 free slot
    And the entries b and c are linked
    When servers crash while they run p1 at one side and then at the other
    And b has acknowledged both strikes, and c the first one
    And the link to c breaks
    Then p1 gets the error server_failed after 2 attempts

  Scenario: A response does not wait indefinitely for an acknowledgement
    Given an entry with 2 sides of 1 free slot
    And the entries b and c are linked
    When servers crash while they run p1 at one side and then at the other
    And 4.1 seconds pass at the entry
    Then p1 gets the error server_failed after 2 attempts
    And a notice lists b and c as entries without the strike

  Scenario: A request crashes at most two servers, however late strikes arrive
    Three entries receive strikes after random delays. A caller repeats its
    request after each error response, 8 times, with 300 seeds.
    Then at most 2 of 8 servers have crashed, and the last request is rejected

  Scenario: A request that completed is no suspect at any entry
    Guards against innocent requests that are rejected for minutes: another
    entry would count a strike that this one has cleared, with the next one.
    Given an entry with 2 sides of 1 free slot
    And a peer has reported that p1 ran at a crash of server one
    When pilot's p1 runs at one of them and gets a complete response
    Then a message that clears the strike of server one is sent to all entries
    When another entry receives both, and that p1 ran at a crash of server two
    Then p1 is still served

  Scenario: A free side is used although another is excluded for the request
    Guards against a request that waits while a server is idle because the
    first side considered is excluded for it.
    Given an entry with 2 sides of 1 free slot
    And pilot's p1 runs at one of them
    And the other side is full
    When its server fails while it runs p1
    And the side at which p1 failed reports 2 free slots, the other one 1
    Then p1 runs at the other side
