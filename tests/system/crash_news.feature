Feature: late strikes between entries don't let a request crash more servers

  A strike records that a request was running when its backend server crashed.

  Scenario Outline: a crashing request is faster than its strikes
    Guards against crashes of a third and a fourth server: an entry responded
    with the crash, and the caller's next request reached the other entry before
    the strike, which took longer than the caller.
    Given a fleet with 4 engines whose entries reach each other 0.3 s late
    When every engine <fails> by a request marked "kaboom"
    And a caller sends it 6 times through alternating entries, <way>
    Then at most 2 engines have run it
    And it is rejected as crashes_servers when it is sent again

    Examples:
      | fails        | way                       |
      | is killed    | plain                     |
      | is killed    | every third time streamed |
      | is restarted | streamed                  |

  Scenario: a stream whose engine crashes midway is faster than its strikes
    Guards against the same after a part of the response: the caller saw its
    stream truncated before the entry had queried the attempt's status.
    Given a fleet with 4 engines whose entries reach each other 0.3 s late
    When a caller streams it 4 times through alternating entries, and the engine that runs it is killed midway
    Then at most 2 engines have run it
    And the last 2 requests got the error crashes_servers

  Scenario: an entry that is disconnected from the others keeps no caller waiting
    Guards against callers that wait for an entry that can't confirm a strike:
    the link between the entries is silent, and soon counts as down.
    Given a fleet with 4 engines whose entries reach each other 0.3 s late
    When every engine is killed by a request marked "kaboom"
    And the entries can no longer reach each other
    And a caller sends it 1 times through entry-a
    Then its response came within 6 s
    And at most 2 engines have run it
