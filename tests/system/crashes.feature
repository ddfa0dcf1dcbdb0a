Feature: a request that crashes servers takes down at most two

  Scenario Outline: a crashing request is resent again and again
    The engine that runs the marked request dies. The request may run twice,
    so it is tried once more, at another engine, which dies too. From then on
    it is refused, at every entry, however it is sent again.
    Given a failing fleet with 4 engines and 0 services
    When every engine <crash> by a request marked "kaboom"
    And a caller sends it 6 times in turn through both entries, <way>
    Then at most 2 engines have run it
    And the later sendings are told as crashes_servers
    And no slot is lost, and a small workspace is served beside a flood

    Examples:
      | crash          | way             |
      | is killed      | plain           |
      | is killed      | now and again streamed |
      | breaks off all | plain           |
      | breaks off all | streamed        |

  Scenario: an entry that starts later knows what crashes servers
    The marked request has taken down two engines through one entry. Another
    entry, which has heard of nothing, starts; the caller turns to it.
    Given a failing fleet with 4 engines and 0 services
    When every engine breaks off all by a request marked "kaboom"
    And a caller sends it 2 times in turn through entry-a
    And entry-b is killed and started anew
    And a caller sends it 2 times in turn through entry-b
    Then at most 2 engines have run it
    And the later sendings are told as crashes_servers

  Scenario: requests that ran beside it are told the truth
    Innocent requests fill all engines when the marked one comes. Those beside
    it on an engine that dies are told so, or tried again; none is refused
    later, when its caller sends it once more.
    Given a failing fleet with 4 engines and 0 services
    When every engine is killed by a request marked "kaboom"
    And innocent requests, plain and streamed, run at all engines
    And a caller sends it 6 times in turn through both entries, plain
    Then at most 2 engines have run it
    And the innocent callers were told the truth
    When the innocent callers send their requests again
    Then all of these are whole
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a link that breaks twice condemns nobody
    The connection between the entries and both sides breaks twice while
    requests run. The sides stop them, no engine has failed, and the same
    requests are served afterwards.
    Given a failing fleet with 2 engines behind wires
    When innocent requests, plain and streamed, run at all engines
    And the wires to all sides break for a moment
    Then the innocent callers were told the truth
    When innocent requests, plain and streamed, run at all engines
    And the wires to all sides break for a moment
    Then the innocent callers were told the truth
    When the innocent callers send their requests again
    Then all of these are whole
    And no slot is lost, and a small workspace is served beside a flood
