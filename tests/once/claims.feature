Feature: a key is claimed by at most one attempt that may run

  Scenario Outline: a resend through another entry after <end>
    Given entries "a" and "b"
    When "a" claims "k"
    And the claim of "k" through "a" is <end>
    And 1 s passes
    And "b" claims "k"
    Then the answers are "Claimed, <answer>"
    Examples:
      | end      | answer          |
      | finished | AlreadyFinished |
      | unknown  | OutcomeLost     |
      | released | Claimed         |

  Scenario: the same key at the same instant through two entries
    Given entries "a" and "b"
    When "k" is claimed through "a" and "b" at the same instant
    Then the answers are "AlreadyRunning, Claimed" in any order

  Scenario: the same key with another request
    Given entries "a" and "b"
    When "a" claims "k"
    And "b" claims "k" for another request
    Then the answers are "Claimed, Mismatch"

  Scenario: the claimant dies and nobody ends its claim
    The entry is killed with its claim. As long as the request may run a
    resend is told that it runs, later that nobody knows, and when the record's
    time is over the key is free.
    Given entries "a" and "b"
    When "a" claims "k"
    And "a" is killed
    And "b" claims "k"
    And 61 s pass
    And "b" claims "k"
    And 600 s pass
    And "b" claims "k"
    Then the answers are "Claimed, AlreadyRunning, OutcomeLost, Claimed"

  Scenario: the reply of the claiming write is lost
    The write takes effect, its reply is lost. The entry reads back, finds its
    own attempt and runs the request; a resend elsewhere is refused.
    Given entries "a" and "b"
    And the next write of "a" loses its reply
    When "a" claims "k"
    And "b" claims "k"
    Then the answers are "Claimed, AlreadyRunning"

  Scenario: a claim that was answered "not run" arrives late
    The entry gives up on a write that is still on its way and tells its caller
    "not run". The late write must not take effect after that: the caller's
    resend would be told for a day that its request runs. Another write at the
    same version keeps it out.
    Given entries "a" and "b"
    And "b" has claimed "other"
    And the next write of "a" is late by 3 s and its way is cut for 2.5 s
    When "a" claims "k"
    And 10 s pass
    And "b" claims "k"
    Then the answers are "Claimed, not claimed, Claimed"
    And late writes took no effect

  Scenario: a caller hangs up while its claim is written
    Nothing has run for it, but its claim stands. It is taken back, or the
    caller's resend would find it "in progress".
    Given entries "a" and "b"
    When a caller of "a" hangs up while "k" is claimed
    And 1 s passes
    And "b" claims "k"
    Then the answers are "Claimed"

  Scenario Outline: an order leaves <late> s after the claim, at most 75 s
    The entry is frozen with a claimed request and thaws. An order that left
    too late would run after its claim was taken for lost; the caller is told
    "not run" and the key is free.
    Given entries "a" and "b"
    When "a" claims "k" and is about to order after <late> s
    And "b" claims "k"
    Then the order <leaves> and "b" is told "<answer>"
    Examples:
      | late | leaves        | answer          |
      | 74   | leaves        | AlreadyFinished |
      | 76   | is held back  | Claimed         |

  Scenario: during an outage nothing is claimed and ends are kept
    Given entries "a" and "b"
    When "a" claims "k"
    And the platform goes down
    And the claim of "k" through "a" is finished
    And "a" claims "other"
    And the platform comes back
    And 3 s pass
    And "b" claims "k"
    And "b" claims "other"
    Then the answers are "Claimed, not claimed, AlreadyFinished, Claimed"
    And the caller is told when to come back

  Scenario: claims that come together share a write
    Given entry "a"
    And "a" has claimed "first"
    When "a" claims 100 keys at the same instant
    Then 1 write was made

  Scenario: an end rides in the next write
    Given entry "a"
    When "a" claims "k"
    And the claim of "k" through "a" is finished
    And "a" claims "other"
    Then no write but the claims' was made

  Scenario: an entry that starts empty finds what was sealed long ago
    Given entries "a" and "b"
    And heads are sealed at 2000 bytes
    When "a" claims 100 keys one after the other
    And "a" is killed
    And "b" claims the first of them
    Then it is "AlreadyRunning"
    And the sealed segments hold most of them

  Scenario: a release uncovers no older record of its key
    The key was claimed and released, and both records are sealed apart. After
    a second claim and release the key must be free, not "in progress".
    Given entries "a" and "b"
    And heads are sealed at 600 bytes
    When "a" claims "k"
    And "a" claims 10 keys one after the other
    And the claim of "k" through "a" is released
    And "a" claims "k"
    And the claim of "k" through "a" is released
    And "b" claims "k"
    Then the last answer is "Claimed"

  Scenario: a writer dies between a segment and the head that lists it
    The segment stands, no head names it. The next writer seals under another
    number and lists the lost one as over, so that it is deleted.
    Given entries "a" and "b"
    And heads are sealed at 2000 bytes
    And a segment that no head lists
    When "b" claims 40 keys one after the other
    And 800 s pass
    And "b" claims "k"
    And "b" claims "k2"
    Then the platform holds the layout, one head and 0 segments

  Scenario: records are removed after their time
    Given entry "a"
    And heads are sealed at 2000 bytes
    When "a" claims 200 keys one after the other
    And 800 s pass
    And "a" claims "k"
    And "a" claims "k2"
    Then the platform holds the layout, one head and 0 segments
    And the head holds 2 records

  Scenario: entries with different settings keep one layout
    Two entries that disagree about the number of shards would look for a key
    in two places and both run its request.
    Given entry "a" with 1 shard
    And entry "b" with 64 shards
    When "a" claims "k"
    And "b" claims "k"
    Then the answers are "Claimed, AlreadyRunning"

  Scenario Outline: random faults, crashes and interleavings, seed <seed>
    Entries claim and end 30 keys while calls are refused, throttled, lose
    their replies or take effect late, entries crash and come back empty, and
    clocks are off by 5 s. A naive dictionary sees every claim at its instant:
    none may be claimed before the one before was released or has expired.
    When 400 callers come to 4 entries with seed <seed>
    Then the naive dictionary never saw a key claimed twice
    And every kind of answer was given
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
