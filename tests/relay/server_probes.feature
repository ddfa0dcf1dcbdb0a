Feature: Probes of servers

  Background:
    Given a relay in front of 1 model server

  Scenario: All that ask before a probe begins share it
    Guards against a crowd of probes when an engine ends with all its streams.

    When 40 responses of the server are closed at the same time
    Then each of them gets a report
    And the server got 1 call for its report

  Scenario: Nobody shares a probe that has begun
    Guards against an answer that a server gave before it crashed, and that is
    taken for one after the crash.

    When a response is closed, and another one while its probe runs
    Then each of them gets a report
    And the server got 2 calls for its report

  Scenario: A report that is cut is asked for again
    Guards against a sound response that is cut because one report was.

    When the server cuts 2 reports
    And 1 responses of the server are closed at the same time
    Then each of them gets a report
    And the server got 3 calls for its report

  Scenario: A server that refuses connections is not waited for
    Guards against streams that go on elsewhere 2.4 s later than they could.

    When one server stops
    And 1 responses of the server are closed at the same time
    Then none of them gets a report, within 0.2 s
