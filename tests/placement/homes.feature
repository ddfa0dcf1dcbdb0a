Feature: Home servers by the rate of prefill

  The deployment that streams.md describes has 6 engines that prefill twice as
  fast as the other 16. With as many home servers at each, 73 % of the shared
  prefixes are prefilled at half the rate.

  Scenario: An engine of half the rate is the home server of about half as many prefixes
    Given 6 engines that prefill 90000 tokens a second and 16 that prefill 45000
    Then between 38 and 47 percent of 4000 prefixes have a home server of the first kind
    And each engine is the home server of some

  Scenario: Engines whose rates differ by up to a factor of 1.5 are alike
    Deployments with equal engines must keep their home servers whatever rates
    are measured there.

    Given 6 engines that prefill 90000 tokens a second and 16 that prefill 60000
    Then the order for 500 prefixes is that of the hashes alone

  Scenario Outline: Small changes of the rates move no home server, <slow>
    Measured rates vary with the prompts and with what else runs on the machine.
    If homes moved with them, prefixes would be computed at several engines.

    Given 6 engines that prefill 90000 tokens a second and 16 that prefill <slow>
    Then with 100 reports of rates up to 20 percent off no home server moves

    Examples:
      | slow  |
      | 45000 |
      | 57000 |
      | 60000 |
      | 75000 |

  Scenario Outline: An engine that becomes slower gives up only homes of its own, engine <number>
    Since a rate is followed only to within a factor of 1.25, it may have one
    step of weight less after it has become fast again.

    Given 6 engines that prefill 90000 tokens a second and 16 that prefill 45000
    When engine <number> becomes slower by a factor of 2
    Then only prefixes with that home server have another one
    And it has kept between 30 and 80 percent of them
    When it becomes faster by a factor of 2
    Then only prefixes with that home server have another one
    And it has kept between 75 and 100 percent of them

    Examples:
      | number |
      | 0      |
      | 15     |

  Scenario: One of engines that count as alike becomes slower
    If the others were then weighed by their own rates, their homes would move.

    Given 6 engines that prefill 90000 tokens a second and 16 that prefill 66000
    When engine 3 becomes slower by a factor of 2
    Then only prefixes with that home server have another one
    And it has kept between 30 and 80 percent of them

  Scenario: An entry that has just started agrees with the others
    It assumes the same rate for all engines until it gets the first reports.

    Given 6 engines that prefill 90000 tokens a second and 16 that prefill 36000
    When another entry gets the first report of each engine
    Then it has the same home servers
