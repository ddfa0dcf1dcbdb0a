Feature: What the choice of a server learns from servers, sides and routes

  Scenario Outline: A stream avoids the <slow> server, where it makes others late
    Guards against a choice that does not get the pause objective of the route,
    0.2 s here.

    Given a relay in front of 2 model servers
    When the <slow> server runs 12 streams that any prompt makes late
    And 3 callers request streams one after the other
    Then the <other> server got 3 requests

    Examples:
      | slow   | other  |
      | first  | second |
      | second | first  |

  Scenario: A server that says that it is slow gets requests again later
    Guards against a figure that is not read, and against one that keeps all
    requests away from a server that could report another only if it got one.

    Given a relay in front of 2 plain servers
    When the first server says that its work takes 2.5 times as long
    And 5 callers fetch one after the other
    Then the first server got 1 requests
    When 0.65 seconds pass
    And 1 callers fetch one after the other
    Then the first server got 2 requests

  Scenario: The slowness in a response to another request is not recorded
    It may be late, and the figure changes many times a second.

    Given a relay in front of 1 plain server
    When the first server says that its work takes 2.5 times as long
    And the server responds to another request and asks for 1 seconds of rest
    And a caller sends a report
    Then no load of the servers is recorded
