Feature: Breakers, retries and strikes

  Scenario: A late success of an older generation closes nothing
    A request is sent, then three others fail and open the breaker. The first
    one succeeds late. The server has failed since, so the breaker must stay
    open until a probe of its own generation succeeds.

    Given a breaker with a request on its way
    When 3 requests fail
    And the first request succeeds late
    Then the breaker is open

  Scenario: One waiting request probes an open breaker
    Given a breaker with a request on its way
    When 3 requests fail
    And the cooldown passes
    Then one request is let through and no second one

  Scenario: A probe that fails lengthens the cooldown
    Given a breaker with a request on its way
    When 3 requests fail
    And the cooldown passes
    And the probe fails
    Then the breaker stays shut out for the first cooldown

  Scenario Outline: The end of the probe decides
    Given a breaker with a request on its way
    When 3 requests fail
    And the cooldown passes
    And the probe <ends>
    Then the breaker has the state "<state>"

    Examples:
      | ends                | state  |
      | succeeds            | closed |
      | fails               | open   |
      | ends without a word | open   |

  Scenario: A late failure of an older generation ends no probe
    A request is sent, then three others fail and open the breaker. While a
    probe is out the first request fails late. It says how the server was: the
    probe alone decides, and no other request goes out beside it.

    Given a breaker with a request on its way
    When 3 requests fail
    And the cooldown passes
    And a probe goes out
    And the first request fails late
    Then the breaker has the state "half_open"
    And the breaker lets nothing through

  Scenario: Retries stay a tenth of first attempts
    Given a retry budget that is used up
    When 100 first attempts are made and retried while it lasts
    Then at most 10 retries were allowed

  Scenario: One crash condemns nobody
    Given print was running when server one crashed
    Then print is not condemned

  Scenario: Crashes of two servers condemn a request for a while
    Given print was running when server one crashed
    And print was running when server two crashed
    Then print is condemned for at most 600 seconds

  Scenario: A whole answer clears the strikes of an innocent request
    Given print was running when server one crashed
    When print is answered whole
    And print was running when server two crashed
    Then print is not condemned
