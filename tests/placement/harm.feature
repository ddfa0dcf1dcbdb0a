Feature: Long prompts go where they make few running streams late

  The engines are those of the deployment that streams.md describes: 6 fast and
  16 slow ones that prefill chunks of 2,048 tokens, 12 streams at each, events
  of 6 tokens, a pause objective of 0.3 s. A slow engine that prefills a long
  prompt makes all its streams late.

  Background:
    Given 6 fast engines and 16 slow ones with 12 running streams each

  Scenario: A long prompt goes to a fast engine
    Placed by the wait alone, it goes to an idle slow engine and makes 12
    streams late.

    When every fast engine has 0.5 seconds of prefill left
    Then a prompt of 12000 tokens goes to a fast engine
    And without a pause objective it goes to a slow engine

  Scenario: Among slow engines a long prompt goes to that with the fewest streams
    When every fast engine has 5 seconds of prefill left
    And one slow engine runs only 2 streams
    Then a prompt of 12000 tokens goes to that one

  Scenario: A long prompt has a server when no fast engine can start it in time
    The fast engines are the first in the order. If only they were tried, the
    prompt would be refused beside slow engines that can start it.

    When every fast engine has 1.1 seconds of prefill left
    Then a prompt of 12000 tokens goes to a fast engine
    And of the servers that start it within 1 seconds the first is a slow engine

  Scenario: A short prompt is not affected
    It takes one step of the six that an event takes, and no stream is late.

    When every fast engine has 0.5 seconds of prefill left
    Then a prompt of 950 tokens has the same order without a pause objective

  Scenario Outline: Without <missing> the order is that of the cost without streams
    Deployments without pause objectives, and sides of the previous version,
    must see no other decision.

    When 300 prompts with random loads are placed without <missing>
    Then all orders are those of the wait, the prefix computed again and the rank

    Examples:
      | missing             |
      | any known pace      |
      | the pause objective |
      | running streams     |

  Scenario: A stream begins where no prompt caused long pauses lately
    An engine that prefills one long prompt after the other makes each stream
    late that begins there, however short its queue is.

    When every fast engine has caused a pause of 0.5 seconds lately
    And every slow engine has 0.1 seconds of prefill left
    Then a prompt of 950 tokens with 300 tokens to generate goes to a slow engine
    And a prompt of 950 tokens with 12 tokens to generate goes to a fast engine
    And without a pause objective it goes to a fast engine
