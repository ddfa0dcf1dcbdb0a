Feature: Which server a prompt goes to

  Scenario: Prompts with the same shared prefix go to one server
    Given 9 idle engines
    When 50 prompts with 20 different shared prefixes are placed
    Then each shared prefix is at one engine

  Scenario: All entries agree on the home server without communication
    Given 9 idle engines
    Then two entries that list the engines in another order agree

  Scenario: A removed engine moves only the prefixes with that home server
    Given 9 idle engines
    When one engine is removed
    Then only the prefixes with that home server have moved

  Scenario: A prompt goes to another server only when waiting costs more
    Given 9 idle engines
    When the home server has 0.2 seconds of prefill left
    Then a prompt with 5000 shared tokens stays at its home server
    And a prompt with 50 shared tokens goes to another server

  Scenario: Without a free slot at home, a prompt goes elsewhere if waiting costs more
    The side reports how long until a slot becomes free. A home server with few
    slots has none for a tenth of a second at a time; prefilled again elsewhere
    each time, its prefixes would evict others from the KV caches of half the
    pool.

    Given 9 idle engines
    When the home server has no free slot for 0.1 seconds
    Then a prompt with 5000 shared tokens stays at its home server
    When the home server has no free slot for 30 seconds
    Then a prompt with 5000 shared tokens goes to another server

  Scenario: Requests of this entry count before the side reports them
    Many requests arrive between two reports of the side. If only the reports
    counted, all of them would go to the engine that looked idle.

    Given 9 idle engines
    When 90 prompts without shared prefixes are placed between two reports
    Then no engine got more than 14 of them

  Scenario: Servers without models get requests by their load
    Given 3 servers without models, one of them loaded
    Then a request goes to an idle one in the own failure domain

  Scenario: Servers that would be late are skipped
    Both servers that cache a prefix prefill very long prompts. After the home
    server has refused, an idle server is next, not the other caching server
    that would refuse as well.

    Given 9 idle engines
    When both servers that cache a prefix have 1.5 seconds of prefill left
    Then the other caching server is before the idle ones by cost
    And it is not among those with free capacity
    And all idle ones are

  Scenario: A prefix cached only at an unusable server gets another home server
    The breaker of the caching server is open. If every other server counted as
    away from home, the request would be refused after a moment beside idle
    servers.

    Given 9 idle engines
    When the only server that caches a prefix is not among the servers
    Then one server would prefill it as its home server, and the others again

  Scenario: A short shared prefix is computed again at any server
    198 tokens are prefilled in 5 ms. If the maximum wait were 20 ms at all
    servers except its home server, a short prompt would be refused more often
    than a long one.

    Given 9 idle engines
    When a prompt with 198 shared tokens is placed
    Then no server counts as computing its prefix again
    When a prompt with 5000 shared tokens is placed
    Then all servers except its home server compute its prefix again

  Scenario: A short prompt does not wait for a long one beside idle servers
    The home server looks idle, and a very long prompt is granted there at the
    same moment. A prompt that comes after it would wait for a second, and be
    late, because its 600 shared tokens are cached here: an idle server prefills
    them in 15 ms.

    Given 9 idle engines
    When a prompt with 600 shared tokens is placed
    Then it is worth waiting at its home server for less than 0.4 seconds
    When a prompt with 5000 shared tokens is placed
    Then it is worth waiting at its home server for more than 2 seconds
    When the home server has 0.3 seconds of prefill left
    And a prompt with 5000 shared tokens is placed
    Then it is worth waiting at its home server for more than 2 seconds

  Scenario: A request that would be late at its home server leaves in time for another one
    The case: light load with some very long prompts. One of 50,000 tokens takes
    a second of prefill at the home server of a short one; the short one's
    caller would miss its objective, and no other request is hurt by computing
    its prefix again.

    Given 9 idle engines
    When a prompt with 5000 shared tokens is placed
    Then due in 0.9 seconds it is worth waiting at its home server for less than 0.7 seconds
    And due in 0.9 seconds it is worth waiting at its home server for more than 0.4 seconds

  Scenario: A request that would be late at the other server too stays at its home server
    Given 9 idle engines
    When a prompt with 5000 shared tokens is placed
    Then due in 0.15 seconds it is worth waiting at its home server for more than 2 seconds

  Scenario: A prefix counts as cached for as long as its server caches prefixes
    Given a server that caches prefixes for 3 seconds and one that reports nothing
    When both have used a prefix 5 seconds ago
    Then only the one that reports nothing counts as caching it
