Feature: Permits at an engine by the prompt tokens to prefill

  Figures: an engine that prefills 40,000 tokens a second gets at most 0.15 s of
  prefill ahead, so 6,000 tokens; further requests wait here, where their order
  can still be chosen.

  Scenario: An idle engine never waits for work
    Given an engine of 8 slots
    When workspace pilot sends a request of 5000 prompt tokens
    Then pilot is granted 1 permit

  Scenario: A prompt longer than the limit is granted to an idle engine
    Given an engine of 8 slots
    When workspace pilot sends a request of 50000 prompt tokens
    Then pilot is granted 1 permit

  Scenario: A lone pilot goes before a flood
    One agency sends twenty requests in a moment. A pilot sends one after them.
    It gets the next permit.

    Given an engine of 64 slots
    When workspace agency sends 20 requests of 5000 prompt tokens
    And workspace pilot sends a request of 5000 prompt tokens
    And the engine has prefilled one prompt
    Then pilot is granted 1 permit

  Scenario: Service at other servers counts
    This is the home server of one workspace's prompts; the prompts of another
    workspace are spread over all servers. Both flood. Counted by this server
    alone they would share it evenly, and the first would get a ninth of the
    service that the second gets in the fleet.

    Given an engine of 64 slots
    When after 0 tokens of service elsewhere home sends 6 requests of 5000 prompt tokens
    And after 400000 tokens of service elsewhere spread sends 6 requests of 5000 prompt tokens
    And the engine prefills prompts for 1 second
    Then home is granted 6 permits
    And spread is granted fewer permits

  Scenario: A request away from its home server gets free capacity only
    Its prefix is cached at another server, so its maximum wait here is short.

    Given an engine of 64 slots
    When workspace guest sends a request of 5000 prompt tokens away from home, waiting for at most 0.02 seconds
    And workspace home sends 4 requests of 5000 prompt tokens
    And workspace guest sends a request of 5000 prompt tokens away from home, waiting for at most 0.02 seconds
    And 0.03 seconds pass at the engine
    Then guest is granted 1 permit
    And 1 of the requests of guest are refused

  Scenario: What can't be prefilled in time is refused immediately
    Waiting would be in vain; the refusal reports when the queue will have
    drained, at the rate at which the engine prefills.

    Given an engine of 64 slots
    When workspace agency sends 20 requests of 10000 prompt tokens
    Then some requests of agency are refused immediately
    And their retry delay is the time in which the queue drains

  Scenario: A pilot is not refused because of a flood's queue
    Given an engine of 64 slots
    When workspace agency sends 20 requests of 10000 prompt tokens
    And workspace pilot sends a request of 500 prompt tokens
    Then pilot is not refused

  Scenario: A request whose maximum wait is over is refused, not forgotten
    Given an engine of 64 slots
    When workspace agency sends 3 requests of 9000 prompt tokens
    And 0.5 seconds pass at the engine
    Then 2 of the requests of agency are refused

  Scenario: A request that ends frees its slot
    Given an engine of 1 slot
    When workspace agency sends 1 requests of 100 prompt tokens
    And workspace pilot sends a request of 100 prompt tokens
    And the request of agency ends
    Then pilot is granted 1 permit

  Scenario: The engine's KV cache is not overfilled
    An engine whose KV cache is full evicts its newest request and prefills it
    again from the start, so requests that don't fit wait here.

    Given an engine of 64 slots
    When workspace agency sends 8 requests of 100 prompt tokens and 20000 output tokens
    Then agency is granted 3 permits

  Scenario: A slow engine is noticed and gets less
    Given an engine of 64 slots
    When its prefill takes five times as long for a while
    Then its estimated prefill rate falls to a fifth

  Scenario Outline: Flood, seed <seed>
    Whatever arrives in whatever order: requests are conserved, none waits while
    the engine is idle, each gets one decision, and the service of two
    workspaces that both wait differs by no more than the largest requests.

    Given an engine of 64 slots
    When 4 workspaces send requests at random for 30 seconds with seed <seed>
    Then every request got one decision
    And workspaces that waited all the time received equal service

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: A request away from home is refused after its own maximum wait
    A request of a workspace waits at its home server here; behind it waits a
    request of the same workspace away from home, whose maximum wait is far
    shorter. It can go to another server, and must not wait for the one in
    front.

    Given an engine of 64 slots
    When workspace agency sends a request of 7900 prompt tokens
    And workspace agency sends a request of 700 prompt tokens
    And a request of agency arrives with 100 prompt tokens away from home, waiting for at most 0.02 seconds
    And 0.03 seconds pass at the engine
    Then 1 of the requests of agency are refused

  Scenario: A short prompt can wait longer than a long one
    Both are due in 0.5 s. Prefill takes the long one 0.3 s, so after 0.2 s it
    can't be in time; the short one can wait longer.

    Given an engine of 64 slots
    When workspace agency sends a request of 7900 prompt tokens
    And workspace short sends a request of 400 prompt tokens, due in 0.5 seconds
    And workspace long sends a request of 12000 prompt tokens, due in 0.5 seconds
    And 0.25 seconds pass at the engine
    Then 1 of the requests of long are refused
    And short is not refused

  Scenario: A request that would be late anyway still waits a moment
    Otherwise a prompt that takes an idle engine longer than its objective
    allows would be refused whenever the engine prefills anything.

    Given an engine of 64 slots
    When workspace agency sends a request of 7900 prompt tokens
    And workspace long sends a request of 40000 prompt tokens, due in 0.5 seconds
    Then long is not refused

  Scenario: The wait for a slot is reported
    Twelve long responses occupy all slots of an engine that prefills nothing.
    If it were reported as free, it would get requests that wait in vain for a
    permit. Twelve slots occupied for 1.2 s each become free 0.1 s apart.

    Given an engine of 12 slots
    When 12 responses have each occupied a slot for 1.2 seconds
    And workspace agency sends 12 requests of 100 prompt tokens
    And the engine prefills prompts for 1 second
    Then it reports a wait of about 0.1 seconds

  Scenario: A request that can't wait for a slot is refused immediately
    A request away from home may wait 20 ms and a slot becomes free in 100: if
    it waited, it would reach the next engine later. A request at its home
    server waits for the slot.

    Given an engine of 12 slots
    When 12 responses have each occupied a slot for 1.2 seconds
    And workspace agency sends 12 requests of 100 prompt tokens
    And the engine prefills prompts for 1 second
    And workspace guest sends a request of 100 prompt tokens away from home, waiting for at most 0.02 seconds
    And workspace pilot sends a request of 100 prompt tokens
    Then some requests of guest are refused immediately
    And pilot is not refused

  Scenario: A long prompt that can't begin soon is refused immediately
    A prompt that takes longer to prefill than an engine gets ahead begins when
    hardly any backlog is left. A request away from home that waits for 20 ms
    can't begin while 0.1 s are left; a short one still can.

    Given an engine of 64 slots
    When workspace agency sends a request of 4000 prompt tokens
    And workspace guest sends a request of 12000 prompt tokens away from home, waiting for at most 0.02 seconds
    And a request of pilot arrives with 1000 prompt tokens away from home, waiting for at most 0.02 seconds
    Then some requests of guest are refused immediately
    And pilot is granted 1 permit

  Scenario: The use of the engine's time is reported
    Given an engine of 64 slots
    When workspace agency sends 3 requests of 4000 prompt tokens
    And the engine prefills prompts for 1 second
    Then its usage report counts 3 permits, and prefill with and without waiting requests

  Scenario: A busy engine caches prefixes for less time than an idle one
    It evicts what was used least recently when new tokens need the space. If
    the time were taken for constant, evicted prefixes would count as cached;
    prefill of their requests would take twice as long as estimated.

    Given an engine of 64 slots
    When workspace agency sends 4 requests of 1000 prompt tokens
    Then it caches a prefix for longer than 60 seconds
    When workspace agency sends a request whose 60000 prompt tokens stay in the KV cache
    Then it caches a prefix for less than 20 seconds

  Scenario: A workspace that used an idle engine does not starve when another joins
    For ten seconds only one workspace sends requests, and has the engine to
    itself; another floods from the eleventh on. It is owed half from there on,
    not everything until it has received as much as the first one had before.
    The users' bound: a workspace that waits receives at least half of what
    another one receives. With the newcomer at zero the first received a tenth
    here.

    Given an engine of 64 slots
    When workspace agency floods for 10 seconds
    And workspaces agency and newcomer flood for 4 seconds
    Then agency received at least 0.5 of what newcomer received
    And newcomer received at least 0.9 of what agency received

  Scenario Outline: A workspace that had the engine to itself pauses for a bounded time
    A workspace has had the engine to itself when <count> others begin to
    flood it. They start from nine tenths of its service. Service decays with a
    time constant of 5.8 s, so they have caught up after 5.8 s * ln(1 +
    <count> / 10); the bounds are that, and a request of 0.075 s for each
    workspace and the one that is being prefilled.

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

  Scenario: Requests that can still be in time go before late ones
    The case: callers request twice what the engines can do. Half of it is
    refused and sent again after its objective has passed. Served in the order
    of arrival, the repeated requests would make those late that still could be
    in time.

    Given an engine of 64 slots
    When workspace agency sends a request of 6000 prompt tokens
    And workspace agency sends 2 late requests of 3000 prompt tokens
    And workspace agency sends a request of 3000 prompt tokens
    And the engine has prefilled one prompt
    Then the last request of agency is granted before the late ones

  Scenario: A late request gets a permit once no other request waits
    Given an engine of 64 slots
    When workspace agency sends a request of 6000 prompt tokens
    And workspace agency sends 1 late request of 3000 prompt tokens
    And the engine has prefilled one prompt
    Then agency is granted 2 permits

  Scenario: A late request costs its workspace nothing against others
    The workspace with the least service is next, late or not.

    Given an engine of 64 slots
    When workspace agency sends a request of 6000 prompt tokens
    And workspace pilot sends 1 late request of 3000 prompt tokens
    And workspace agency sends a request of 3000 prompt tokens
    And the engine has prefilled one prompt
    Then pilot is granted 1 permit

  Scenario: A request that fits by the time at which the timer is set is not forgotten
    The clock moves on between a decision and the next timer. Without a timer
    the request would wait for the next first event, or until it is refused.

    Given an engine of 64 slots
    When workspace agency sends 2 requests of 5000 prompt tokens
    And the clock moves on by 0.2 seconds
    Then a decision is due now

  Scenario: A stream that continues from a copy waits behind no prompt
    It prefills nothing. Queued behind prompts it would pause for longer than
    its route allows, or be refused where it could run.

    Given an engine of 4 slots
    When workspace agency sends 3 requests of 20000 prompt tokens
    And a stream of pilot continues here
    Then pilot is granted 1 permit
    When 4 streams of pilot continue here
    Then pilot is granted 3 permits
    And the last stream of pilot was refused immediately
