Feature: State charts are loaded from files and interpreted

  Scenario Outline: The charts of the package are valid and loaded once
    When the chart "<chart>" is loaded twice
    Then both are the same chart
    And it starts in "<initial>"

    Examples:
      | chart   | initial    |
      | attempt | unseen     |
      | breaker | closed     |
      | drain   | serving    |
      | lease   | none       |
      | link    | connecting |
      | view    | own        |

  Scenario Outline: Events lead to the states of the chart
    Given a new state on the chart "<chart>"
    When the events "<events>" are fired
    Then the state is "<state>"

    Examples:
      | chart   | events                                    | state      |
      | attempt | arrive start finish                       | finished   |
      | attempt | arrive start ask fail                     | failed     |
      | attempt | arrive start fail                         | failed     |
      | attempt | arrive start stop ask                     | stopped    |
      | attempt | arrive refuse                             | tombstoned |
      | attempt | refuse                                    | tombstoned |
      | attempt | ask ask                                   | tombstoned |
      | attempt | arrive ask                                | tombstoned |
      | attempt | arrive start finish ask                   | finished   |
      | breaker | failure_limit probe probe_ok              | closed     |
      | breaker | failure_limit probe probe_failed          | open       |
      | breaker | failure_limit probe probe_undecided       | open       |
      | drain   | drain shut idle                           | drained    |
      | drain   | drain shut deadline                       | drained    |
      | drain   | drain stop                                | drained    |
      | drain   | drain shut stop                           | drained    |
      | view    | asked caught_up failed asked failed       | own        |
      | lease   | acquire renew expire acquire              | held       |
      | lease   | foreign waited_out acquire supersede      | lapsed     |
      | link    | opened broken retry failed                | down       |

  Scenario: A late run request can't start an attempt that was queried
    The entry lost its connection, queried the status, and responded "not run"
    to the caller. Then the delayed run request reaches the side. The tombstone
    must refuse it, because a start would contradict the response already sent.

    Given a new state on the chart "attempt"
    When the events "ask" are fired
    Then the event "arrive" is illegal
    And the event "start" is illegal
    And the state is "tombstoned"

  Scenario: An illegal event raises an error and leaves the state unchanged
    Given a new state on the chart "breaker"
    Then the event "probe_ok" is illegal
    And the event "no_such_event" is illegal
    And the state is "closed"

  Scenario: Several states on one chart are independent
    Given a new state on the chart "breaker"
    And another new state on the same chart
    When the events "failure_limit" are fired
    Then the state is "open"
    And the other state is "closed"

  Scenario Outline: An inconsistent chart is rejected
    Given a chart with the states "<states>" and the initial state "<initial>"
    And its events are "<events>" and its transitions "<transitions>"
    When the chart is parsed
    Then it is rejected because "<reason>"

    Examples:
      | states | initial | events  | transitions            | reason                               |
      | on off | up      | flip    | on-flip-off            | initial: unknown state up            |
      | on off | on      | flip    | on-push-off            | transitions[0].event: unknown event  |
      | on off | on      | flip    | up-flip-off            | transitions[0].source: unknown state |
      | on off | on      | flip    | on-flip-up             | transitions[0].target: unknown state |
      | on off | on      | flip    | on-flip-on             | state off is unreachable             |
      | on off | on      | flip up | on-flip-off            | event up has no transition           |
      | on off | on      | flip    | on-flip-off on-flip-on | flip is ambiguous in state on        |

  Scenario: A missing file or invalid JSON is rejected
    Then the chart "no-such-chart" is rejected because "file not found"
    And the chart text "{" is rejected because "truncated"

  Scenario: The interpreter agrees with a plain table of the transitions
    Then random events lead to the same states as a plain table

  Scenario Outline: Enumerations must match the states and events of the file
    When the chart "drain" is loaded with the states "<states>" and the events "<events>"
    Then the enumerations are rejected because "<reason>"

    Examples:
      | states                             | events                          | reason                                  |
      | serving leaving draining           | drain shut idle deadline stop   | state drained is not in the enumeration |
      | serving leaving draining drained x | drain shut idle deadline stop   | state x is not in the file              |
      | serving leaving draining drained   | drain shut idle deadline        | event stop is not in the enumeration    |
      | serving leaving draining drained   | drain shut idle deadline stop x | event x is not in the file              |

  Scenario: The library's log records do not flood the log
    Its machine logs every event at the level INFO, at which the fleet logs
    routing decisions.

    When all log records are collected while charts are parsed and events fired
    Then the library has logged nothing at INFO or above
