Feature: nobody gets in

  Separate processes; strangers know each address and no secret.

  Background:
    Given a small fleet with known secrets

  Scenario: peer endpoints are closed to strangers
    Somebody reaches the peers' ports and knows a caller's token at most. No
    order runs, no fate is told, no link opens, no status is shown.
    When strangers call every peer endpoint of the entry and of the sides
    Then each of them is refused, in the documented shape
    And nothing has run at the stand-ins
    And the peers' endpoints can't be reached at the callers' port

  Scenario: a link without the secret is refused
    When strangers open a control link to the entry and to the sides
    Then each of them is refused before the link opens

  Scenario: calls without a known token are refused
    When strangers call without a token, with a foreign one and with another's
    Then each of them is refused, in the documented shape
    And nothing has run at the stand-ins

  Scenario: a request in a request is never run
    Each of these could be read as two requests by a balancer with other
    habits. What hides inside carries a good token; it must not run.
    When a caller smuggles a service call inside each kind of doubtful request
    Then the hidden call has not run at the service
    And the same call runs when it is sent openly
    And the fleet serves as before

  Scenario: thousands of idle connections and slow heads
    More connections than the entry holds send nothing, others a byte of a
    head now and then. A new caller is served.
    When strangers hold 2500 connections to the callers' port
    And strangers hold 4500 connections to the peers' port of a side
    Then the fleet serves as before

  Scenario: bytes without sense
    Hypothesis draws bytes, heads and bodies for every port of the entry and a
    side. Whatever answers is an HTTP answer below 500, and nobody crashes.
    When hypothesis sends bytes to every port
    Then the fleet serves as before
    And no process has logged a fault

  Scenario: secrets are told nowhere
    Callers were served and refused. Then operators read every page, and every
    log line of every process is searched.
    When callers with good and bad tokens have called
    Then no page of an operator's port holds a secret
    And no log line holds a secret
