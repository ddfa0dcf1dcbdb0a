Feature: Backend servers around outages of the store

  Scenario: Entries that lapse in an outage are kept for a moment
    The store is away; the servers live, but their entries lapse. When the
    store is back the list is empty for two seconds. Requests go on.

    Given 3 listed servers
    When the store is away and comes back with an empty list
    Then 3 servers take work

  Scenario: Who does not come back in time is gone
    Given 3 listed servers
    When the store is away and comes back with an empty list
    And 1.7 seconds pass
    Then 0 servers take work

  Scenario: Who comes back is kept
    Given 3 listed servers
    When the store is away and comes back with an empty list
    And the first server is listed again
    And 1.7 seconds pass
    Then 1 server takes work

  Scenario: Entries that lapse late are not kept for longer
    Sixty servers lost power with the store. Their entries lapse one after the
    other, the last 1.5 s after the store's return. Kept for 1.6 s from its
    own lapse each, the last would be sent requests for 3 s after the return,
    each of them lost.

    Given 60 listed servers
    When the store is back, and the entries of all lapse over 1.5 seconds
    And 0.4 seconds pass
    Then 0 servers take work

  Scenario: Sixty servers that come back one after the other take work
    Given 60 listed servers
    When the store is back, and the entries of all lapse over 0.5 seconds
    And all are listed again over 1 second
    Then 60 servers take work
    And none of them was ever left out

  Scenario: In calm a server that vanishes is gone at once
    Given 3 listed servers
    When the first server vanishes
    Then 2 servers take work

  Scenario: A leaving server is not kept over an outage
    Given 3 listed servers
    When the first server is leaving
    And the store is away and comes back with an empty list
    Then 2 servers take work

  Scenario: An address that another server has taken is not kept
    Given 3 listed servers
    When the store is away and comes back with a new server at the first address
    Then the old one at that address takes no work

  Scenario: A later start of a listed server is taken from whoever tells it
    A server starts again under its id. A side tells it before the list does.

    Given 3 listed servers
    When the first server is listed with start 800 and revision 10
    And a side tells that the first server started at 900 with revision 20
    Then that is news, and the first server's start is 900

  Scenario: A start by a clock that has jumped back is taken too
    The server's machine has set its clock back by a minute. By that clock
    the later start looks older; the store's revision tells that it is not.

    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is listed with start 400 and revision 21
    Then the first server's start is 400

  Scenario: A late word about a former start changes nothing
    A neighbour's view is behind: it tells of the start that is over, which
    would bring back what was believed of it.

    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is listed with start 950 and revision 19
    Then the first server's start is 900
    When a side tells that the first server started at 990 with revision 18
    Then that is no news, and the first server's start is 900

  Scenario: An entry that can't be understood any more is no server
    Given 3 listed servers
    When the store is away, and something else is written for the first server
    Then 2 servers take work

  Scenario: A late entry that can't be understood changes nothing
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And something else was written for the first server at revision 12
    Then 3 servers take work

  Scenario: Of two servers at one address the later one runs there
    All servers lose power and start again under other ids. The entries of the
    former ones stay listed until they lapse; what is sent to them is not run.

    Given 3 listed servers
    When a later server is listed at the first address
    Then 3 servers take work, and the first does not

  Scenario: A server at whose address another answers gets no work
    Given 3 listed servers
    When another server answers at the first address
    Then 2 servers take work
    When 4.1 seconds pass
    Then 3 servers take work

  Scenario: A server that only claims the address of another stands aside
    Somebody has listed a server at the address of the first. When the first
    answers there, the claim counts for nothing.

    Given 3 listed servers
    When a later server is listed at the first address
    And another server answers for the later one
    Then 3 servers take work, and the first does
