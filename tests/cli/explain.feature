Feature: Explain what happened to a request

  Scenario: Lines of processes whose clocks differ are ordered by cause
    The side's clock is nine seconds ahead. Sorted by time, its refusal would
    come after the end of the request, which it explains.

    Given the logs of an entry and of a side whose clock is ahead
    When request 9c41 is explained
    Then the output has the events: configured, refused, request_sent, request_ended

  Scenario: A missing log file is reported
    Given the log of a side alone
    When request 9c41 is explained
    Then the last line reports that a file is missing

  Scenario: Dropped lines are reported with their count
    Given the log of an entry that dropped 7 lines
    When request 9c41 is explained
    Then the last line reports that edge-1 dropped 7

  Scenario: An unknown request id
    Given the log of a side alone
    When request beef is explained
    Then the command fails because no line is about beef
