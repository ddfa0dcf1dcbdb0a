Feature: A side polls its engine

  Scenario: Reports reach the admission over one connection
    Given a side that polls its engine
    When 0.8 seconds pass with polls
    Then the admission has received at least 4 reports of 1 run
    And the engine has accepted 1 connection

  Scenario Outline: A poll that fails is counted, and the next one works
    Given a side that polls its engine
    When the engine sends <fault> in 1 poll
    Then 1 poll is counted as <outcome>
    And further reports reach the admission
    And no report that arrived too late reached the admission
    And the log has 1 line on the engine's silence and 1 on its return

    Examples:
      | fault                        | outcome    |
      | a report without active      | unreadable |
      | a body of 2 MB               | unreadable |
      | bytes that are no HTTP       | unreadable |
      | status 503                   | status     |
      | a response without its end   | cut        |
      | a response after 0.4 seconds | late       |

  Scenario: A second response is not taken for the one to the next poll
    Given a side that polls its engine
    When the engine sends a second response in 1 poll
    Then further reports reach the admission
    And the engine has accepted 2 connections

  Scenario: An engine that accepts no connections for a while
    Given a side that polls its engine
    When the engine stops for 0.6 seconds
    Then at least 2 polls are counted as unreachable
    And further reports reach the admission
    And the log has 1 line on the engine's silence and 1 on its return

  Scenario: An engine of which every other poll fails fills no log
    Given a side that polls its engine
    When the engine sends a report without active in every other of 10 polls
    Then 5 polls are counted as unreadable
    And the log has 1 line on the engine's silence and 1 on its return

  Scenario: A side without an engine's address polls nothing
    Given a side without an engine's address
    Then nothing is polled and no poll is on its page of metrics

  Scenario: An idle engine is polled less often
    Given a side that polls its engine
    When the engine runs nothing
    And 1.2 seconds pass with polls
    Then the engine has been polled at most 5 times since

  Scenario: A restart of the engine resets the pace and releases no permit
    The entries report the restart with the cold period; waiting requests that
    were granted before would overload the engine if it is cold.

    Given a side that polls its engine
    When a request gets a permit
    And the engine has restarted
    Then the pace was reset 1 time, before the first report of the new start
    And 1 request still has its permit

  Scenario: An engine that stops reporting its start has not restarted
    Given a side that polls its engine
    When the engine reports no start for 3 polls
    Then the pace was reset 0 times

  Scenario: The end of the side closes the connection to its engine
    Given a side that polls its engine
    When the side ends
    Then the engine has no connection within 0.2 seconds and gets no more polls

  Scenario: A side that ends during a poll doesn't wait for it
    Given a side that polls its engine
    When the engine sends a response after 0.4 seconds in its next poll
    And the side ends
    Then the engine has no connection within 0.6 seconds and gets no more polls

  Scenario: A fault in the admission interrupts the polls, not the side
    Given a side that polls its engine
    When the admission raises an error on a report
    Then the fault is logged once, polls pause and the side sends reports
    And the polls go on

  Scenario: The pace of the steps reaches the entries and the page of metrics
    Given a side that polls its engine
    When a request gets a permit
    Then a pace of 6 tokens, 0.0055 and 0.058 seconds is sent with 1 stream
    And the page of metrics has the pace, 1 stream and the polls

  Scenario: Without a known pace the fields are 0
    Given a side that polls its engine
    When a request gets a permit
    Then a pace of 0 tokens, 0 and 0 seconds is sent with 0 streams
