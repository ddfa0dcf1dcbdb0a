Feature: Breakers, retries and strikes

  Scenario: A late success of an older generation does not close the breaker
    A request is sent, then three others fail and open the breaker. The first
    request succeeds late. The server has failed since, so the breaker must
    stay open until a probe of the current generation succeeds.

    Given a breaker with a request in flight
    When 3 requests fail
    And the first request succeeds late
    Then the breaker is open

  Scenario: One request probes an open breaker after the cooldown
    Given a breaker with a request in flight
    When 3 requests fail
    And the cooldown passes
    Then one request is allowed and no second one

  Scenario: A probe that fails lengthens the cooldown
    Given a breaker with a request in flight
    When 3 requests fail
    And the cooldown passes
    And the probe fails
    Then the breaker stays open longer than the initial cooldown

  Scenario Outline: The outcome of the probe decides the state
    Given a breaker with a request in flight
    When 3 requests fail
    And the cooldown passes
    And the probe <ends>
    Then the breaker has the state "<state>"

    Examples:
      | ends                | state  |
      | succeeds            | closed |
      | fails               | open   |
      | ends inconclusively | open   |

  Scenario: A late failure of an older generation does not end a probe
    A request is sent, then three others fail and open the breaker. While a
    probe is in flight the first request fails late. Its failure shows an
    earlier state of the server: only the probe decides, and no other request
    is sent until then.

    Given a breaker with a request in flight
    When 3 requests fail
    And the cooldown passes
    And a probe is sent
    And the first request fails late
    Then the breaker has the state "half_open"
    And the breaker allows no request

  Scenario: Retries are limited to a tenth of first attempts
    Given a retry budget that is used up
    When 100 first attempts are each retried if the budget allows it
    Then at most 10 retries were allowed

  Scenario: One crash blocks no request
    Given print was running when server one crashed
    Then print is not blocked

  Scenario: Crashes of two servers block a request for a limited time
    Given print was running when server one crashed
    And print was running when server two crashed
    Then print is blocked for at most 600 seconds

  Scenario: A complete response clears the strikes of an innocent request
    Given print was running when server one crashed
    When a complete response is received for print
    And print was running when server two crashed
    Then print is not blocked
