Feature: a key is claimed by at most one attempt that may run

  Scenario Outline: a resend through another entry after <end>
    Given entries "a" and "b"
    When "a" claims "k"
    And the claim of "k" through "a" is <end>
    And 1 s passes
    And "b" claims "k"
    Then the results are "Claimed, <result>"
    Examples:
      | end      | result          |
      | finished | AlreadyFinished |
      | unknown  | OutcomeUnknown  |
      | released | Claimed         |

  Scenario: the same key at the same moment through two entries
    Given entries "a" and "b"
    When "k" is claimed through "a" and "b" at the same moment
    Then the results are "AlreadyRunning, Claimed" in any order

  Scenario: the same key with another request
    Given entries "a" and "b"
    When "a" claims "k"
    And "b" claims "k" for another request
    Then the results are "Claimed, RequestMismatch"

  Scenario: the claiming entry crashes and its claim is never ended
    The entry is killed with its claim. As long as the request may run, a
    resend is rejected as running, later with an unknown outcome. When the
    record has expired the key is free.
    Given entries "a" and "b"
    When "a" claims "k"
    And "a" is killed
    And "b" claims "k"
    And 61 s pass
    And "b" claims "k"
    And 600 s pass
    And "b" claims "k"
    Then the results are "Claimed, AlreadyRunning, OutcomeUnknown, Claimed"

  Scenario: the response to the claiming write is lost
    The write takes effect, but its response is lost. The entry reads the head
    again, finds its own attempt and runs the request; a resend through another
    entry is rejected.
    Given entries "a" and "b"
    And the response to the next write of "a" is lost
    When "a" claims "k"
    And "b" claims "k"
    Then the results are "Claimed, AlreadyRunning"

  Scenario: a claim that was reported as "not run" arrives late
    The entry gives up on a write that is still on its way and responds "not
    run" to its caller. If the late write took effect after that, the caller's
    resend would be rejected as running for a day. Another write at the same
    version keeps it from taking effect.
    Given entries "a" and "b"
    And "b" has claimed "other"
    And the next write of "a" arrives 3 s late and its store is unreachable for 2.5 s
    When "a" claims "k"
    And 10 s pass
    And "b" claims "k"
    Then the results are "Claimed, not claimed, Claimed"
    And late writes took no effect

  Scenario: a caller disconnects while its claim is written
    Its request has not run, but its claim is stored. The claim is released;
    otherwise the caller's resend would be rejected as "in progress".
    Given entries "a" and "b"
    When a caller of "a" disconnects while "k" is claimed
    And 1 s passes
    And "b" claims "k"
    Then the results are "Claimed"

  Scenario Outline: a run request <late> s after the claim, allowed for 75 s
    The entry is frozen with a claimed request and resumes. A run request sent
    too late would run after its claim is treated as lost. The entry responds
    "not run" to its caller instead, and the key is free.
    Given entries "a" and "b"
    When "a" claims "k" and is ready to run it after <late> s
    And "b" claims "k"
    Then the run request is <sending> and "b" gets "<result>"
    Examples:
      | late | sending  | result          |
      | 74   | sent     | AlreadyFinished |
      | 76   | withheld | Claimed         |

  Scenario: during an outage nothing is claimed and ends are retried
    Given entries "a" and "b"
    When "a" claims "k"
    And the store becomes unreachable
    And the claim of "k" through "a" is finished
    And "a" claims "other"
    And the store is reachable again
    And 3 s pass
    And "b" claims "k"
    And "b" claims "other"
    Then the results are "Claimed, not claimed, AlreadyFinished, Claimed"
    And the caller gets a retry-after time

  Scenario: concurrent claims share a write
    Given entry "a"
    And "a" has claimed "first"
    When "a" claims 100 keys at the same moment
    Then 1 write was made

  Scenario: an end is written with the next claim
    Given entry "a"
    When "a" claims "k"
    And the claim of "k" through "a" is finished
    And "a" claims "other"
    Then no write but the claims' was made

  Scenario: an entry without a cache finds records in sealed segments
    Given entries "a" and "b"
    And heads are sealed above 2000 bytes
    When "a" claims 100 keys in sequence
    And "a" is killed
    And "b" claims the first of these keys
    Then the result is "AlreadyRunning"
    And the sealed segments hold most of the keys

  Scenario: a release does not expose an older record of its key
    The key was claimed and released, and the two records are in different
    sealed segments. After a second claim and release the key must be free, not
    "in progress".
    Given entries "a" and "b"
    And heads are sealed above 600 bytes
    When "a" claims "k"
    And "a" claims 10 keys in sequence
    And the claim of "k" through "a" is released
    And "a" claims "k"
    And the claim of "k" through "a" is released
    And "b" claims "k"
    Then the last result is "Claimed"

  Scenario: a writer crashes between a segment and the head that lists it
    The segment is stored, but no head lists it. The next writer seals under
    another number and lists the orphan as expired, so that it is deleted.
    Given entries "a" and "b"
    And heads are sealed above 2000 bytes
    And a segment that no head lists
    When "b" claims 40 keys in sequence
    And 800 s pass
    And "b" claims "k"
    And "b" claims "k2"
    Then the store holds the layout, one head and 0 segments

  Scenario: expired records are removed
    Given entry "a"
    And heads are sealed above 2000 bytes
    When "a" claims 200 keys in sequence
    And 800 s pass
    And "a" claims "k"
    And "a" claims "k2"
    Then the store holds the layout, one head and 0 segments
    And the head holds 2 records

  Scenario: entries with different settings use one layout
    Two entries that disagree about the number of shards would look for a key
    in two shards, and both would run its request.
    Given entry "a" with 1 shard
    And entry "b" with 64 shards
    When "a" claims "k"
    And "b" claims "k"
    Then the results are "Claimed, AlreadyRunning"

  Scenario Outline: random faults, crashes and interleavings, seed <seed>
    Entries claim and end 30 keys while calls are refused, throttled, lose
    their responses or take effect late, entries crash and restart without
    state, and clocks differ by 5 s. A reference model sees every claim at the
    moment of its result: a key may be claimed only after the claim before was
    released or has expired.
    When 400 callers use 4 entries with seed <seed>
    Then the reference model has never seen a key claimed twice
    And every kind of result occurred
    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
