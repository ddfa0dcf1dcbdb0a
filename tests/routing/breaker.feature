Feature: The breaker of one backend server

  Scenario: Failures in a row keep work away until the cooldown is over
    Given a breaker
    When 3 requests are sent and fail
    Then the breaker is open and allows nothing
    When its cooldown passes
    Then the breaker allows a request

  Scenario Outline: The end of the probe decides
    Given a breaker
    And 3 requests are sent and fail
    When its cooldown passes
    And a probe is sent
    Then the breaker is half_open and allows nothing
    When the probe <ends>
    Then the breaker is <state>

    Examples:
      | ends                | state  |
      | succeeds            | closed |
      | fails               | open   |
      | ends without a word | open   |

  Scenario: A late success does not close a breaker that has opened since
    A request is slow. Three others fail on the same server, which is cut off;
    after that the slow one succeeds. It says how the server was, not how it
    is: the server must stay without work until a probe has succeeded.

    Given a breaker
    And a slow request is sent
    And 3 requests are sent and fail
    When the slow request succeeds
    Then the breaker is open and allows nothing
    When its cooldown passes
    And a probe is sent
    And the slow request fails
    Then the breaker is half_open and allows nothing
