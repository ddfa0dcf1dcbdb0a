Feature: Plain servers that are slow now get fewer requests

  A server's machine is shared, so its work takes 2.5 times as long for a part of
  each 0.6 s. Each response says how long work takes now.

  Scenario: A server that stays slow gets less, and not nothing
    By the requests in progress alone it gets half of what the others get, and
    callers wait there for 2.5 times as long.

    Given 3 servers without models, one of them slow by a factor of 2.5
    When 100 requests a second that take 0.1 seconds each come for 20 seconds
    Then the slow server got between 10 and 25 percent of what the others got

  Scenario: An idle server that is slow is after idle ones that are not
    Given 3 servers without models, one of them slow by a factor of 2.5
    Then the slow server is the last
    And it is before a server that runs 3 requests

  Scenario Outline: The figure counts <age> seconds after it was received
    A server that gets nothing reports nothing, and would stay slow for ever.

    Given 3 servers without models, one of them slow by a factor of 2.5
    Then after <age> seconds its slowness is <factor>

    Examples:
      | age  | factor |
      | 0    | 2.5    |
      | 0.3  | 2.5    |
      | 0.45 | 1.75   |
      | 0.6  | 1      |
      | 9    | 1      |

  Scenario: A figure below the usual attracts no requests
    Given 3 servers without models, one of them slow by a factor of 0.01
    When that one runs 1 request
    Then the slow server is the last
