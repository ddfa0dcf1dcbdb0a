Feature: Which server a prompt goes to

  Scenario: Prompts that share a part go to one server
    Given 9 idle engines
    When 50 prompts with 20 different shared parts are placed
    Then each shared part is at one engine

  Scenario: All entries agree on the home without a word
    Given 9 idle engines
    Then two entries that list the engines in another order agree

  Scenario: A lost engine moves only what was at home there
    Given 9 idle engines
    When one engine is lost
    Then only the parts at home there have moved

  Scenario: A prompt leaves its home only when waiting costs more
    Given 9 idle engines
    When the home has 0.2 seconds to read
    Then a prompt with 5000 shared tokens stays at home
    And a prompt with 50 shared tokens leaves it

  Scenario: A home without a free slot is left where waiting costs more
    Its side tells how long until one comes free. A home of few slots has none
    for a tenth of a second at a time; read anew elsewhere each time, its parts
    would push others out of the memory of half the pool.

    Given 9 idle engines
    When the home has no free slot for 0.1 seconds
    Then a prompt with 5000 shared tokens stays at home
    When the home has no free slot for 30 seconds
    Then a prompt with 5000 shared tokens leaves it

  Scenario: What this entry sent is counted before its side tells it
    A crowd comes within one word of the side. Were only the side's word
    counted, all of it would go to the engine that looked idle.

    Given 9 idle engines
    When 90 prompts without shared parts are placed between two words
    Then no engine got more than 14 of them

  Scenario: Plain servers get work by their load
    Given 3 plain servers, one of them loaded
    Then a request goes to one that is idle in the own failure domain

  Scenario: Servers that would be late are passed over
    Both holders of a part read very long prompts. After the home has refused,
    an idle server is asked, not the other holder that would refuse as well.

    Given 9 idle engines
    When both holders of a part have 1.5 seconds to read
    Then the other holder is before the idle ones by cost
    And it is not among those with room
    And all that are idle are

  Scenario: A part whose only holder can't be used is at home elsewhere
    The holder's breaker is open. Were every other server a mere guest's, the
    request would be refused after a moment beside idle servers.

    Given 9 idle engines
    When the only holder of a part is not among the servers
    Then one server would read it as its home, and the others again

  Scenario: A short shared part makes nobody a guest
    198 tokens are read in 5 ms. With a guest's 20 ms of patience at all servers
    except its home, a short question is refused more often than a long prompt.

    Given 9 idle engines
    When a prompt with 198 shared tokens is placed
    Then it is a guest nowhere
    When a prompt with 5000 shared tokens is placed
    Then it is a guest everywhere but at home

  Scenario: A short prompt does not wait for a long one beside idle servers
    The home looks idle, and a very long prompt is granted there in the same
    moment. Who came after it would wait for a second, and be late, because
    its 600 shared tokens are here: an idle server reads them in 15 ms.

    Given 9 idle engines
    When a prompt with 600 shared tokens is placed
    Then it is worth waiting at home for less than 0.4 seconds
    When a prompt with 5000 shared tokens is placed
    Then it is worth waiting at home for more than 2 seconds
    When the home has 0.3 seconds to read
    And a prompt with 5000 shared tokens is placed
    Then it is worth waiting at home for more than 2 seconds

  Scenario: Who would be late at home leaves while it can be in time elsewhere
    Pattern: a calm day with some very long prompts. One of 50,000 tokens is read
    at the home of a short one for a second; the short one's caller would see
    its objective pass, and nobody else is hurt by reading its part again.

    Given 9 idle engines
    When a prompt with 5000 shared tokens is placed
    Then due in 0.9 seconds it is worth waiting at home for less than 0.7 seconds
    And due in 0.9 seconds it is worth waiting at home for more than 0.4 seconds

  Scenario: Who would be late there too stays at home
    Given 9 idle engines
    When a prompt with 5000 shared tokens is placed
    Then due in 0.15 seconds it is worth waiting at home for more than 2 seconds

  Scenario: A part counts as held for as long as its server keeps parts
    Given a server that keeps parts for 3 seconds and one that says nothing
    When both have used a part 5 seconds ago
    Then only the one that says nothing counts as a holder
