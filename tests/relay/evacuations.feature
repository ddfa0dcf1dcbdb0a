Feature: Evacuated failure domains, and servers in their cold start

  Scenario: An evacuated domain gets no new requests, running ones continue
    A stream runs on a server when the operator evacuates its domain. Its
    caller does not notice; later callers are served elsewhere.

    Given a relay in front of 2 model servers, the second one in kamchia
    When a stream runs at each server
    And kamchia is evacuated
    And 6 callers request streams one after the other
    Then every caller gets status 200
    And the second server got 1 request
    And the streams that started before are complete

  Scenario: A request that got its permit before is no longer sent
    Between the permit and the send a connection is opened; the evacuation may
    become known in that time.

    Given a relay in front of 2 model servers, the second one in kamchia
    When the domain of a server is evacuated between its permit and the send
    Then the caller gets status 200
    And that server got no request

  Scenario: All domains are evacuated
    The operator wants it so: callers immediately get the response that nothing
    has run, with the time to retry. The evacuation takes precedence over idle
    servers.

    Given a relay in front of 2 model servers, the second one in kamchia
    When kamchia is evacuated
    And kamchia and galata are evacuated
    And a caller requests a resumable stream
    Then the caller gets status 503 and when to retry
    And the reason is that the servers are evacuated

  Scenario: An outage, lost history and another source of the view end nothing
    Given a relay in front of 2 model servers, the second one in kamchia
    When kamchia is evacuated
    And the store becomes unreachable
    Then kamchia is still evacuated
    When all evacuations are listed again
    Then kamchia is still evacuated
    When the evacuation of kamchia is lifted
    Then nothing is evacuated

  Scenario: After an evacuation the servers may be cold
    They became cold shortly before, and their records in the list show that
    seconds later. The full load at that moment would crash them.

    Given a relay in front of 2 model servers, the second one in kamchia
    And cold servers can handle 10 requests a second for 3 seconds
    When kamchia is evacuated
    And the evacuation of kamchia is lifted
    Then the second server is assumed to be cold for 3 seconds
    And the first server is assumed to be warm

  Scenario Outline: Entries without a side stay within a cold server's rate
    No entry knows what the others send there.

    Given a relay in front of 1 model server
    And cold servers can handle 10 requests a second for 3 seconds
    And there are <entries> entries
    When every server is listed as cold for 3 seconds
    Then this entry grants itself <granted> of 30 permits for the cold server

    Examples:
      | entries | granted |
      | 21      | 0       |
      | 5       | 2       |

  Scenario: Requests that wait for a fraction get none when it becomes zero
    An entry knows of five entries, then of all. What waited for its fraction
    was granted at once when the fraction became zero, as if the cold server
    had no limit.

    Given a relay in front of 1 model server
    And cold servers can handle 10 requests a second for 3 seconds
    And there are 5 entries
    When every server is listed as cold for 3 seconds
    And 30 requests wait for this entry's fraction of the cold server
    And there are 21 entries
    Then none of those that still wait is granted within 0.3 seconds

  Scenario: The reason names a cold server whose side is unreachable
    Given a relay in front of 1 model server
    And cold servers can handle 10 requests a second for 3 seconds
    When every server is listed as cold for 3 seconds
    And a caller requests a resumable stream
    Then the caller gets status 503 and when to retry
    And the reason is that the server is cold

  Scenario: A cold plain server gets this entry's fraction of its rate
    Given a relay in front of 2 plain servers
    And cold servers can handle 12 requests a second for 3 seconds
    When the first server is listed as cold for 3 seconds
    And 20 callers fetch concurrently
    Then every caller gets status 200
    And the first server got 2 requests
