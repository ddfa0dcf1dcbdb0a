Feature: entries that hear of crashes late don't let a request crash more

  Scenario Outline: a crashing request outruns the news of it
    Guards against a third and a fourth server that die: an entry told its
    caller of a crash, and the caller's next sending reached the other entry
    before the news, which took longer than the caller.
    Given a failing fleet with 4 engines whose entries hear of each other 0.3 s late
    When every engine <fails> by a request marked "kaboom"
    And a caller sends it 6 times in turn through both entries, <way>
    Then at most 2 engines have run it
    And the later sendings are told as crashes_servers

    Examples:
      | fails          | way                    |
      | is killed      | plain                  |
      | is killed      | now and again streamed |
      | breaks off all | streamed               |

  Scenario: a stream whose engine dies midway outruns the news of it
    Guards against the same after a part of the answer: the caller saw its
    stream cut before the entry had asked what became of it.
    Given a failing fleet with 4 engines whose entries hear of each other 0.3 s late
    When a caller streams it 4 times in turn, and the engine that runs it is killed midway
    Then at most 2 engines have run it
    And the last 2 sendings were told as crashes_servers

  Scenario: an entry that is cut off keeps no caller waiting
    Guards against callers who wait for an entry that can't confirm: the link
    between the entries is silent, and counts as down soon.
    Given a failing fleet with 4 engines whose entries hear of each other 0.3 s late
    When every engine is killed by a request marked "kaboom"
    And the entries hear of each other no more
    And a caller sends it 1 times in turn through entry-a
    Then its answer came within 6 s
    And at most 2 engines have run it
