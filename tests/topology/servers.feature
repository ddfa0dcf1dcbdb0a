Feature: Backend servers around outages of the store

  Scenario: Servers whose records expire in an outage have a grace period
    The store is unreachable; the servers run, but their records expire. When
    the store returns, the list is empty for two seconds. The servers still get
    requests.

    Given 3 listed servers
    When the store is unreachable and returns with an empty list
    Then 3 servers get work

  Scenario: A server that is not listed again in time is removed
    Given 3 listed servers
    When the store is unreachable and returns with an empty list
    And 1.7 seconds pass
    Then 0 servers get work

  # Guards against a removed server that gets requests as if its record had
  # expired in an outage.
  Scenario: An outage too short for records to expire gives no grace period
    Given 3 listed servers
    When a call to the store fails, and it returns after 1.5 seconds with an empty list
    Then 0 servers get work

  # Guards against the same after an outage of a neighbour's path to the store.
  Scenario: A neighbour's outage gives no grace period
    Given 3 listed servers
    When a neighbour reports an outage, and lists no server afterwards
    Then 0 servers get work

  # Guards against a grace period that counts from when the return was noticed.
  Scenario: The grace period counts from the last call that failed
    Given 3 listed servers
    When the last call to the store fails 1.4 seconds before it returns with an empty list
    Then 3 servers get work
    When 1.3 seconds pass
    Then 0 servers get work

  # Guards against servers that all get no work until the store returns a second
  # time: their records were missing when it failed again.
  Scenario: The grace period does not end while the store is unreachable again
    Given 3 listed servers
    When the store is unreachable and returns with an empty list
    And 0.5 seconds pass
    And the store is unreachable again for 5 seconds
    Then 3 servers get work
    When the store returns with an empty list
    And 1.5 seconds pass
    Then 3 servers get work
    When 0.2 seconds pass
    Then 0 servers get work

  Scenario: A short outage only interrupts the grace period
    Given 3 listed servers
    When the store is unreachable and returns with an empty list
    And 0.5 seconds pass
    And the store is unreachable again for 1.4 seconds
    And the store returns with an empty list
    And 1 second passes
    Then 3 servers get work
    When 0.2 seconds pass
    Then 0 servers get work

  Scenario: A server that is listed again stays
    Given 3 listed servers
    When the store is unreachable and returns with an empty list
    And the first server is listed again
    And 1.7 seconds pass
    Then 1 server gets work

  Scenario: Records that expire late do not prolong the grace period
    Sixty servers lost power with the store. Their records expire one after the
    other, the last 1.5 s after the store's return. If each had a grace period
    of 1.6 s of its own, the last would be sent requests for 3 s after the
    return, and each of these would fail.

    Given 60 listed servers
    When the store returns, and the records of all expire over 1.5 seconds
    And 0.4 seconds pass
    Then 0 servers get work

  Scenario: Sixty servers that are listed again one after the other get work
    Given 60 listed servers
    When the store returns, and the records of all expire over 0.5 seconds
    And all are listed again over 1 second
    Then 60 servers get work
    And none of them was ever left out

  Scenario: Without an outage a server that is no longer listed is removed
    Given 3 listed servers
    When the first server is no longer listed
    Then 2 servers get work

  Scenario: A draining server has no grace period
    Given 3 listed servers
    When the first server is draining
    And the store is unreachable and returns with an empty list
    Then 2 servers get work

  Scenario: A server has no grace period if another is listed at its address
    Given 3 listed servers
    When the store is unreachable and returns with a new server at the first address
    Then the old one at that address gets no work

  Scenario: A later start of a listed server is accepted from any source
    A server restarts with the same id. A side reports it before the list does.

    Given 3 listed servers
    When the first server is listed with start 800 and revision 10
    And a side reports that the first server started at 900 with revision 20
    Then that start is new, and the first server's start is 900

  Scenario: A start by a clock that has jumped back is accepted
    The server's clock was set back by a minute. By that clock the later start
    looks older; by the store's revision it is newer.

    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is listed with start 400 and revision 21
    Then the first server's start is 400

  Scenario: A late report of a former start changes nothing
    A neighbour's view is stale: it shows the start that has ended, which would
    restore the state of that start.

    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is listed with start 950 and revision 19
    Then the first server's start is 900
    When a side reports that the first server started at 990 with revision 18
    Then that start is not new, and the first server's start is 900

  Scenario: A server whose record becomes invalid is removed
    Given 3 listed servers
    When the store is unreachable, and an invalid record is written for the first server
    Then 2 servers get work

  Scenario: A late invalid record changes nothing
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And an invalid record was written for the first server at revision 12
    Then 3 servers get work

  Scenario: Of two servers at one address the later one runs there
    All servers lose power and start again with other ids. The records of the
    former ones stay listed until they expire; requests to them are not run.

    Given 3 listed servers
    When a later server is listed at the first address
    Then 3 servers get work, and the first does not

  Scenario: A server at whose address another one responds gets no work
    Given 3 listed servers
    When another server responds at the first address
    Then 2 servers get work
    When 4.1 seconds pass
    Then 3 servers get work

  Scenario: A server with a false address does not displace the one there
    A server is wrongly listed at the address of the first. When the first
    responds there, the false record has no effect.

    Given 3 listed servers
    When a later server is listed at the first address
    And another server responds in place of the later one
    Then 3 servers get work, and the first does

  Scenario: A server that has announced its end gets no work
    Its responses say so before its record does.

    Given 3 listed servers
    When the first server announces its end
    Then 2 servers get work, and the first does not
    And the first server is listed as leaving

  Scenario: An announced end outlasts records that say otherwise
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server announces its end
    And the first server is listed with start 900 and revision 20
    And the first server is listed with start 900 and revision 25
    And the first server is listed with start 700 and revision 15
    Then 2 servers get work, and the first does not

  Scenario: A server that has announced its end has no grace period
    Given 3 listed servers
    When the first server announces its end
    And the store is unreachable and returns with an empty list
    Then 2 servers get work, and the first does not
    And the first server is not kept

  Scenario: A server that is listed again after an announced end gets no work
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server announces its end
    And the first server is no longer listed
    And the first server is listed with start 900 and revision 25
    Then 2 servers get work, and the first does not

  Scenario: An announcement that arrives while the record is missing counts
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is no longer listed
    And the start 900 with revision 20 announces its end for the first time
    And the first server is listed with start 900 and revision 25
    Then 2 servers get work, and the first does not

  Scenario: A server that reports no start is bound by its announcement
    Given 3 listed servers
    When the first server announces its end
    And the first server is no longer listed
    And the first server is listed again
    Then 2 servers get work, and the first does not

  Scenario: A later start has announced nothing
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server announces its end
    And the first server is listed with start 950 and revision 30
    Then 3 servers get work, and the first does

  Scenario: A side reports the later start after an announced end
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server announces its end
    And a side reports that the first server started at 950 with revision 30
    Then 3 servers get work, and the first does

  Scenario: A late announcement of a former start changes nothing
    Given 3 listed servers
    When the first server is listed with start 900 and revision 20
    And the first server is listed with start 950 and revision 30
    And the start 900 with revision 20 of the first server announces its end
    Then 3 servers get work, and the first does

  Scenario: Announcements of servers that are gone are bounded
    Given 3 listed servers
    When the first server announces its end
    And 2000 other servers are listed, announce their end and disappear
    Then 2 servers get work, and the first does not
    And at most 1001 announcements are kept
