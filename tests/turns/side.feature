Feature: Permits for a server, over the wire

  Scenario: The side grants a permit that an entry requests
    Given a side and 2 entries
    When entry 1 requests a permit for 5000 tokens
    Then entry 1 is granted the permit

  Scenario: Entries share one engine
    The engine has one slot. Each entry alone would count it as free.

    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And entry 2 requests a permit for 5000 tokens
    Then entry 2 waits until entry 1 releases its permit

  Scenario: Permits of a disconnected entry are released
    An entry crashes, and the ends of its requests are never reported. Its
    permits are released when its connection ends; otherwise the engine would
    stay occupied.

    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And entry 1 disconnects
    And entry 2 requests a permit for 5000 tokens
    Then entry 2 is granted the permit

  Scenario: Service received at other servers counts everywhere
    Workspace e2 received much service at other servers, through entry 1. Entry
    1 reports it to the side with a request of its own workspace; e3, which
    comes after e2, is next.

    Given a side of 1 slot and 3 entries
    When entry 1 is granted a permit and reports 400000 tokens served to e2
    And entry 2 requests a permit for 5000 tokens
    And entry 3 requests a permit for 5000 tokens
    Then entry 3 is granted a permit before entry 2

  Scenario: A caller that disconnects while its request waits frees its place
    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And the caller of a request that waits at entry 2 disconnects
    Then the side has 1 running request and none waiting

  Scenario: A side that stops ends every pending request
    An entry waits for a permit when the side crashes. The request ends
    immediately without a response; the entry then grants permits for its own
    fraction of the engine, which is still running.

    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And the side stops while entry 2 waits
    Then the request of entry 2 ends without a response within 0.5 seconds

  Scenario: A side that sends nothing counts as disconnected
    The side is suspended: its connections stay open and nothing arrives.

    Given a side and 2 entries
    When the side stops sending reports
    Then entry 1 counts it as disconnected within 2 seconds

  Scenario: Entries receive the cached prefixes
    Given a side and 2 entries
    When entry 1 is granted a permit for a prompt with shared prefix p7
    Then entry 2 records within 0.6 seconds that the server caches p7

  Scenario: An invalid line closes the connection
    Given a side and 2 entries
    When the side receives a line that is not a valid message
    Then the side closes that connection and serves the others

  Scenario: Strikes are sent to every entry, also one that connects later
    A caller retries a request that crashes its server, each time through
    another entry. An entry that restarts has no record of it.

    Given a side and 2 entries
    When entry 1 reports strikes of one request at 3 servers
    Then entry 2 has strikes at 3 servers
    When another entry connects
    Then entry 3 has strikes at 3 servers

  Scenario: A restarted engine counts as idle immediately
    The engine crashes under a request and restarts with the same id. The
    entry that sent the request has not noticed. The request that waits at the
    side was never sent; it would wait for the end of a request that has ended.

    Given a side of 1 slot and 2 entries
    And all entries list the engine as started at 900 with revision 20
    When entry 1 requests a permit for 5000 tokens
    And entry 2 requests a permit for 5000 tokens
    And entry 2 lists the engine as started at 400 with revision 25
    Then entry 2 is granted the permit
    And entry 1 receives the engine's start at 400

  Scenario: A late report of the former start is corrected
    Given a side and 2 entries
    And all entries list the engine as started at 900 with revision 20
    When entry 1 requests a permit for 5000 tokens
    And entry 2 lists the engine as started at 950 with revision 12
    Then entry 2 receives the engine's start at 900
    And the side has 1 running request and none waiting

  Scenario: A side's load report about the former start is ignored
    A report with the cached prefixes of the former start was in transit while
    the engine restarted. An entry that applied it would send prompts there as
    if their prefixes were cached.

    Given a side and 2 entries
    And all entries list the engine as started at 900 with revision 20
    When entry 2 lists the engine as started at 950 with revision 30, and its side does not
    And entry 1 is granted a permit for a prompt with shared prefix p7
    Then entry 2 does not record within 0.6 seconds that the server caches p7

  Scenario: Waiting requests do not overload the engine's next start
    Failure: an engine crashes under load and restarts cold. The requests that
    wait at its side were never sent, and would all be granted to the new start
    immediately.

    Given a side of 64 slots and 2 entries
    And all entries list the engine as started at 900 with revision 20
    When entry 1 requests 30 permits for 500 tokens each
    And entry 1 lists the engine as started at 950 with revision 30, cold for 2 seconds at 10 a second
    Then at most 3 of these are granted within 0.1 seconds
    And at most 14 of these are granted within 1 second

  Scenario: An engine that never was cold is not limited
    Given a side of 64 slots and 2 entries
    When entry 1 lists the engine as started at 900 with revision 20, cold for 0 seconds at 10 a second
    And entry 1 requests 12 permits for 100 tokens each
    Then at least 12 of these are granted immediately

  Scenario: An entry that reads the same record later does not prolong a cold start
    An entry that restarts reads a record of the list that was written long
    before. Counted from that reading, the engine would be cold for the whole
    period again.

    Given a side of 64 slots and 2 entries
    When entry 1 lists the engine as started at 900 with revision 20, cold for 1 second at 10 a second
    And 0.8 seconds pass
    And entry 2 lists the engine as started at 900 with revision 20, cold for 1 second at 10 a second
    Then the side counts the engine as cold for at most 0.3 seconds
    When entry 2 lists the engine as started at 900 with revision 25, cold for 1 second at 10 a second
    Then the side counts the engine as cold for at least 0.8 seconds

  Scenario: Starts that end cold are counted, with their permits
    It lets the operator recognise a crash loop, and whether the permits cause
    it.

    Given a side of 64 slots and 2 entries
    And all entries list the engine as started at 900 with revision 20
    When entry 1 lists the engine as started at 910 with revision 21, cold for 2 seconds at 10 a second
    And entry 1 requests 2 permits for 100 tokens each
    And entry 1 lists the engine as started at 920 with revision 22, cold for 2 seconds at 10 a second
    Then the side counts 2 consecutive starts and 2 permits in the last second

  Scenario: A caller that retries after a refusal is recognised
    It connects to another entry, and its request has a new id. Its objective
    counts from its first attempt: the side that refused it counts it as late
    by then, and informs the entry, which requests a permit at other sides too.

    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And entry 1 requests a permit for caller 7 and is refused
    And 0.3 seconds pass
    And entry 2 requests a permit for caller 7 and is refused
    Then entry 2 receives that caller 7 was refused before, 0.3 seconds ago
    And another caller was not refused before

  Scenario: Many refusals use bounded memory
    Given a side of 1 slot and 2 entries
    When 30000 different callers are refused
    Then the side remembers at most 10000 of them

  Scenario: A refusal that the entry knows from another side counts once
    Two sides refused the first attempt. The entry receives the time of the
    refusal from the first side that it queries, and sends it to the second.

    Given a side of 1 slot and 2 entries
    When entry 1 requests a permit for 5000 tokens
    And entry 1 requests a permit for caller 7 and is refused
    And 0.3 seconds pass
    Then a request of caller 7 that is due in 0.5 seconds and reports a refusal 0.3 seconds ago is not late
    And a request of caller 7 that is due in 0.2 seconds and reports no refusal is late

  Scenario: A side that has just started reports no number of entries
    After a power failure the first entry would be told that it is alone, and
    send a cold engine whose side is not up yet all that the engine handles;
    so would each of the next ones.

    Given a side and 2 entries
    When the side has sent its first load report
    Then no entry knows how many entries there are
    When the side has run for 2.2 seconds
    Then each entry records that 2 entries are connected
