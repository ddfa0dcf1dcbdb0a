Feature: Each request gets at most one response

  Scenario Outline: A stream that no server continues is truncated
    A stream's server crashes half way, and the next one responds with a status
    of its own. Guards against that response within the one that has begun: its
    caller can't parse what it gets.

    Given a relay in front of 2 model servers
    When a stream is interrupted, and then gets <response>
    And a caller requests a resumable stream
    Then the caller's response is truncated, and nothing follows its events
    And the log reports 1 truncated response, because of "<cause>"

    Examples:
      | response     | cause      |
      | fail         | status 500 |
      | find_nothing | status 404 |
      | have_nothing | status 204 |
      | shed         | status 503 |

  Scenario: A stream is continued by a third server if the second does not
    The second server responds 404. Guards against a response that is given up
    while the route still allows an attempt.

    Given a relay in front of 3 model servers
    And the routes allow 3 servers
    When a stream is interrupted, and then gets find_nothing
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And the log reports 0 truncated responses, because of "status 404"
