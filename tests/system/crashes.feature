Feature: a request that crashes servers crashes at most two

  Scenario Outline: a crashing request is sent again and again
    The engine that runs the marked request crashes. The request may run twice,
    so it is tried again, at another engine, which crashes too. From then on it
    is rejected, at every entry, however it is sent again.
    Given a fleet with 4 engines and 0 services
    When every engine <crash> by a request marked "kaboom"
    And a caller sends it 6 times through alternating entries, <way>
    Then at most 2 engines have run it
    And it is rejected as crashes_servers when it is sent again
    And no slot is lost, and a small workspace is served during a flood

    Examples:
      | crash        | way                       |
      | is killed    | plain                     |
      | is killed    | every third time streamed |
      | is restarted | plain                     |
      | is restarted | streamed                  |

  Scenario: an entry that starts later knows which requests crash servers
    The marked request has crashed two engines through one entry. Another entry,
    which has no state of it, starts; the caller turns to it.
    Given a fleet with 4 engines and 0 services
    When every engine is restarted by a request marked "kaboom"
    And a caller sends it 2 times through entry-a
    And entry-b is killed and started again
    And a caller sends it 2 times through entry-b
    Then at most 2 engines have run it
    And it is rejected as crashes_servers when it is sent again

  Scenario: requests that ran beside it are told the truth
    Harmless requests fill all engines when the marked one arrives. Those on an
    engine that crashes get a true error, or are tried again; none is rejected
    later, when its caller sends it again.
    Given a fleet with 4 engines and 0 services
    When every engine is killed by a request marked "kaboom"
    And harmless requests, plain and streamed, run at all engines
    And a caller sends it 6 times through alternating entries, plain
    Then at most 2 engines have run it
    And the responses to the harmless requests are consistent with the executions
    When the harmless requests are sent again
    Then all of these are complete
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a link that breaks twice blocks no request
    The connections between the entries and both sides break twice while
    requests run. The sides cancel them, no engine has failed, and the same
    requests are served afterwards.
    Given a fleet with 2 engines behind TCP proxies
    When harmless requests, plain and streamed, run at all engines
    And the network paths to all sides are interrupted for a moment
    Then the responses to the harmless requests are consistent with the executions
    When harmless requests, plain and streamed, run at all engines
    And the network paths to all sides are interrupted for a moment
    Then the responses to the harmless requests are consistent with the executions
    When the harmless requests are sent again
    Then all of these are complete
    And no slot is lost, and a small workspace is served during a flood
