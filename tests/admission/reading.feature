Feature: Turns at an engine by what it has to read

  Figures: an engine that reads 40,000 tokens a second is given at most 0.15 s
  of reading ahead, so 6,000 tokens; more waits here, where the order is ours.

  Scenario: An idle engine is never kept waiting
    Given an engine of 8 slots
    When workspace pilot asks for 5000 tokens
    Then pilot is granted 1 turn

  Scenario: A prompt larger than all room is granted to an idle engine
    Given an engine of 8 slots
    When workspace pilot asks for 50000 tokens
    Then pilot is granted 1 turn

  Scenario: A lone pilot goes before a flood
    One agency sends twenty requests in a moment. A pilot asks once after
    them, and is the next to be granted.

    Given an engine of 64 slots
    When workspace agency asks 20 times for 5000 tokens
    And workspace pilot asks for 5000 tokens
    And the engine has read one prompt
    Then pilot is granted 1 turn

  Scenario: Service at other servers counts
    The prompts of one workspace are at home here, those of another are
    spread over all servers. Both flood. Counted by this server alone they
    would share it evenly, and the first would get a ninth of the fleet's
    service of the second.

    Given an engine of 64 slots
    When with 0 tokens served elsewhere home asks 6 times for 5000 tokens
    And with 400000 tokens served elsewhere spread asks 6 times for 5000 tokens
    And the engine reads prompts for 1 second
    Then home is granted 6 turns
    And spread is granted fewer turns

  Scenario: A guest takes free capacity only
    A request whose part is at home elsewhere has next to no patience here.

    Given an engine of 64 slots
    When a guest with 0.02 seconds of patience asks for 5000 tokens
    And workspace home asks 4 times for 5000 tokens
    And a guest with 0.02 seconds of patience asks for 5000 tokens
    And 0.03 seconds pass at the engine
    Then guest is granted 1 turn
    And 1 of guest are refused

  Scenario: What can't be read in time is refused at once
    Waiting would be in vain; the caller is told when the queue will have
    drained, from the rate at which the engine reads.

    Given an engine of 64 slots
    When workspace agency asks 20 times for 10000 tokens
    Then some of agency are refused at once
    And they are told to come back after the queue has drained

  Scenario: A pilot is not refused for a flood's queue
    Given an engine of 64 slots
    When workspace agency asks 20 times for 10000 tokens
    And workspace pilot asks for 500 tokens
    Then pilot is not refused

  Scenario: Who has waited for too long is refused, not forgotten
    Given an engine of 64 slots
    When workspace agency asks 3 times for 9000 tokens
    And 0.5 seconds pass at the engine
    Then 2 of agency are refused

  Scenario: A caller that leaves frees its place
    Given an engine of 1 slot
    When workspace agency asks 1 times for 100 tokens
    And workspace pilot asks for 100 tokens
    And the request of agency ends
    Then pilot is granted 1 turn

  Scenario: The engine's memory is not overfilled
    An engine whose memory runs out throws out its newest request and reads it
    again from the start, so what would not fit waits here.

    Given an engine of 64 slots
    When workspace agency asks 8 times for 100 tokens and 20000 answer tokens
    Then agency is granted 3 turns

  Scenario: A slow engine is learned and given less
    Given an engine of 64 slots
    When its prompts take five times as long for a while
    Then its wait is told five times as long

  Scenario Outline: Flood, seed <seed>
    Whatever comes in whatever order: places are conserved, nothing waits
    while the engine is idle, each ask has one verdict, and the service of two
    workspaces that both wait differs by no more than the largest requests.

    Given an engine of 64 slots
    When 4 workspaces ask at random for 30 seconds with seed <seed>
    Then every ask had one verdict
    And workspaces that waited all along were served alike

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: A guest behind others of its workspace is refused in its own time
    A request of a workspace waits for its home here; behind it waits a guest
    of the same workspace, whose patience is far shorter. It has another
    server to ask, and must not wait for the one in front.

    Given an engine of 64 slots
    When workspace agency asks for 7900 tokens
    And workspace agency asks for 700 tokens
    And a guest of agency with 0.02 seconds of patience asks for 100 tokens
    And 0.03 seconds pass at the engine
    Then 1 of agency are refused

  Scenario: A short prompt waits where a long one has to begin
    Both are due in 0.5 s. Reading takes the long one 0.3 s, so after 0.2 s it
    can't be in time; the short one can wait longer.

    Given an engine of 64 slots
    When workspace agency asks for 7900 tokens
    And workspace short asks for 400 tokens, due in 0.5 seconds
    And workspace long asks for 12000 tokens, due in 0.5 seconds
    And 0.25 seconds pass at the engine
    Then 1 of long are refused
    And short is not refused

  Scenario: What would be late anyway waits a moment all the same
    A prompt that takes an idle engine longer than its objective allows would
    else be refused whenever the engine reads anything.

    Given an engine of 64 slots
    When workspace agency asks for 7900 tokens
    And workspace long asks for 40000 tokens, due in 0.5 seconds
    Then long is not refused

  Scenario: The wait for a slot is told
    Twelve long answers hold all slots of an engine that reads nothing. Told
    to be free, it is sent requests that wait in vain for their turn. Twelve
    slots held for 1.2 s each come free 0.1 s apart.

    Given an engine of 12 slots
    When 12 answers have each held a slot for 1.2 seconds
    And workspace agency asks 12 times for 100 tokens
    And the engine reads prompts for 1 second
    Then it tells a wait of about 0.1 seconds

  Scenario: Who can't wait for a slot is refused at once
    A guest may wait 20 ms and a slot comes free in 100: kept waiting it would
    reach the next engine later. Who is at home waits for the slot.

    Given an engine of 12 slots
    When 12 answers have each held a slot for 1.2 seconds
    And workspace agency asks 12 times for 100 tokens
    And the engine reads prompts for 1 second
    And a guest with 0.02 seconds of patience asks for 100 tokens
    And workspace pilot asks for 100 tokens
    Then some of guest are refused at once
    And pilot is not refused

  Scenario: A long prompt is told at once that its room is not near
    A prompt that takes longer to read than an engine is given ahead begins
    where next to nothing is left to read. For a guest of 20 ms that is not so
    while 0.1 s are left; a short one still has room.

    Given an engine of 64 slots
    When workspace agency asks for 4000 tokens
    And a guest with 0.02 seconds of patience asks for 12000 tokens
    And a guest of pilot with 0.02 seconds of patience asks for 1000 tokens
    Then some of guest are refused at once
    And pilot is granted 1 turn

  Scenario: How the engine's time is used is told
    Given an engine of 64 slots
    When workspace agency asks 3 times for 4000 tokens
    And the engine reads prompts for 1 second
    Then its usage tells of 3 turns, of reading with and without others waiting

  Scenario: A busy engine keeps parts for less time than a calm one
    It drops what was used longest ago when new tokens need the room. Taken for
    a constant, parts that are gone would count as held, and their requests
    would be read twice as long as was reckoned.

    Given an engine of 64 slots
    When workspace agency asks 4 times for 1000 tokens
    Then it keeps a part for longer than 60 seconds
    When workspace agency asks for 60000 tokens that stay
    Then it keeps a part for less than 20 seconds

  Scenario: Who used an idle engine does not starve when another comes
    For ten seconds only one workspace asks, and has the engine for itself;
    another floods from the eleventh on. It is owed half from there on, not
    all until it has had as much as the first one had before. The users' bound:
    nobody who waits gets less than half of what another one gets. With the
    newcomer at zero the first got a tenth here.

    Given an engine of 64 slots
    When workspace agency floods for 10 seconds
    And workspaces agency and newcomer flood for 4 seconds
    Then agency got at least 0.5 of what newcomer got
    And newcomer got at least 0.9 of what agency got

  Scenario Outline: Who had the engine for itself pauses for a bounded time
    A workspace has had the engine for itself when <count> others begin to
    flood it. They start from nine tenths of its service. Service fades with a
    time constant of 5.8 s, so they have caught up after 5.8 s * ln(1 +
    <count> / 10); the bounds are that, and a request of 0.075 s for each
    workspace and the one that is being read.

    Given an engine of 64 slots
    When workspace first floods for 20 seconds
    And workspace first and <count> newcomers flood for 8 seconds
    Then first pauses for at most <most> seconds

    Examples:
      | count | most |
      | 1     | 0.78 |
      | 2     | 1.36 |
      | 4     | 2.40 |
      | 8     | 4.15 |

  Scenario: Who can still be in time goes before who is late already
    Pattern: a crowd asks for twice what the engines can do. Half of it is
    refused and comes back when its objective has passed. Served in the order
    they come, those that return make those late that still could be in time.

    Given an engine of 64 slots
    When workspace agency asks for 6000 tokens
    And 2 requests of agency that are late already ask for 3000 tokens
    And workspace agency asks for 3000 tokens
    And the engine has read one prompt
    Then the last of agency's requests is granted before those that are late

  Scenario: Who is late already waits for a gap, and gets it
    Given an engine of 64 slots
    When workspace agency asks for 6000 tokens
    And 1 request of agency that is late already asks for 3000 tokens
    And the engine has read one prompt
    Then agency is granted 2 turns

  Scenario: Being late costs a workspace nothing against others
    The least served workspace is next, late or not.

    Given an engine of 64 slots
    When workspace agency asks for 6000 tokens
    And 1 request of pilot that is late already asks for 3000 tokens
    And workspace agency asks for 3000 tokens
    And the engine has read one prompt
    Then pilot is granted 1 turn
