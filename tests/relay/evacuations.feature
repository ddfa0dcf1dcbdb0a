Feature: Failure domains that are evacuated, and servers that are cold

  Scenario: Nothing new reaches an evacuated domain, what runs there goes on
    A stream runs at a server when the operator evacuates its domain. Its
    caller sees nothing of that; whoever comes later is served elsewhere.

    Given a relay before 2 model servers, the second one in kamchia
    When a stream runs at each server
    And kamchia is evacuated
    And 6 callers ask for streams one after the other
    Then every caller gets status 200
    And the second server got 1 request
    And the streams that ran before are whole

  Scenario: A request that got its turn before is not sent any more
    Between a turn and its send lies the opening of a connection; the
    evacuation may become known meanwhile.

    Given a relay before 2 model servers, the second one in kamchia
    When the domain of a server is evacuated between its turn and its send
    Then the caller gets status 200
    And that server got no request

  Scenario: All domains are evacuated
    The operator has asked for it: callers are told at once that nothing has
    run, and to come back. The evacuation goes before the idle servers.

    Given a relay before 2 model servers, the second one in kamchia
    When kamchia is evacuated
    And kamchia and galata are evacuated
    And a caller asks for a resumable stream
    Then the caller gets status 503 and when to come back
    And the reason is that the servers are evacuated

  Scenario: An outage, lost history and a view that changes hands end nothing
    Given a relay before 2 model servers, the second one in kamchia
    When kamchia is evacuated
    And the store does not answer any more
    Then kamchia is evacuated still
    When all evacuations are listed anew
    Then kamchia is evacuated still
    When the evacuation of kamchia is taken back
    Then nothing is evacuated

  Scenario: After an evacuation the servers may be cold
    They became cold shortly before, and their entries in the list tell that
    seconds later. Met by the whole crowd at once they would crash.

    Given a relay before 2 model servers, the second one in kamchia
    And cold servers bear 10 requests a second for 3 seconds
    When kamchia is evacuated
    And the evacuation of kamchia is taken back
    Then the second server is taken for cold for 3 seconds
    And the first server is taken for warm

  Scenario Outline: Entries without a side stay within what a cold server bears
    Each knows nothing of what the others send there.

    Given a relay before 1 model server
    And cold servers bear 10 requests a second for 3 seconds
    And there are <entries> entries
    When every server is listed as cold for 3 seconds
    Then this entry gives itself <turns> of 30 turns at the cold server

    Examples:
      | entries | turns |
      | 21      | 0     |
      | 5       | 2     |

  Scenario: A cold server whose side is away is named as the reason
    Given a relay before 1 model server
    And cold servers bear 10 requests a second for 3 seconds
    When every server is listed as cold for 3 seconds
    And a caller asks for a resumable stream
    Then the caller gets status 503 and when to come back
    And the reason is that the server is cold

  Scenario: A cold plain server gets this entry's part of what it bears
    Given a relay before 2 plain servers
    And cold servers bear 12 requests a second for 3 seconds
    When the first server is listed as cold for 3 seconds
    And 20 callers fetch at once
    Then every caller gets status 200
    And the first server got 2 requests
