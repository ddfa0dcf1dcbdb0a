Feature: What happened to a request

  Scenario: Lines of processes whose clocks differ, in the order of cause
    The side's clock is nine seconds ahead. By time its refusal would come
    after the end of the request that it explains.

    Given the logs of an entry and of a side whose clock is ahead
    When request 9c41 is explained
    Then it reads: configured, refused, request_sent, request_ended

  Scenario: A missing file is told
    Given the log of a side alone
    When request 9c41 is explained
    Then the last sentence says that a file is missing

  Scenario: Dropped lines are told with their count
    Given the log of an entry that dropped 7 lines
    When request 9c41 is explained
    Then the last sentence says that edge-1 dropped 7

  Scenario: An id that nobody knows
    Given the log of a side alone
    When request beef is explained
    Then the command fails and says that no line is about beef
