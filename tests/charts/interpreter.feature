Feature: State charts are files that the code interprets

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

  Scenario Outline: Events lead along the chart
    Given a start on the chart "<chart>"
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

  Scenario: A late order can't start an attempt that was asked about
    The entry lost its connection, asked, and told the caller "not run". Then
    the delayed order reaches the side. The tombstone must refuse it, because
    starting it would make the answer that was already given a lie.

    Given a start on the chart "attempt"
    When the events "ask" are fired
    Then the event "arrive" is illegal
    And the event "start" is illegal
    And the state is "tombstoned"

  Scenario: An illegal event names chart, state and event and changes nothing
    Given a start on the chart "breaker"
    Then the event "probe_ok" is illegal
    And the event "no_such_event" is illegal
    And the state is "closed"

  Scenario: States on one chart are independent
    Given a start on the chart "breaker"
    And another start on the same chart
    When the events "failure_limit" are fired
    Then the state is "open"
    And the other state is "closed"

  Scenario Outline: A chart that doesn't fit together is refused
    Given a chart of the states "<states>" that starts in "<initial>"
    And its events are "<events>" and its arrows "<arrows>"
    When the chart is read
    Then it is refused because "<reason>"

    Examples:
      | states | initial | events  | arrows               | reason                         |
      | on off | up      | flip    | on-flip-off          | initial: no state up           |
      | on off | on      | flip    | on-push-off          | transitions[0].event: no event |
      | on off | on      | flip    | up-flip-off          | transitions[0].source: no stat |
      | on off | on      | flip    | on-flip-up           | transitions[0].target: no stat |
      | on off | on      | flip    | on-flip-on           | state off is unreachable       |
      | on off | on      | flip up | on-flip-off          | event up has no transition     |
      | on off | on      | flip    | on-flip-off on-flip-on | flip is ambiguous in state on |

  Scenario: A file that is missing or no JSON is refused
    Then the chart "no-such-chart" is refused because "there is no file"
    And the chart text "{" is refused because "truncated"

  Scenario: The interpreter agrees with a naive walk over the file
    Then random events move each chart as a plain table does

  Scenario Outline: A chart and the code that runs on it name the same things
    When the chart "drain" is read with the states "<states>" and the events "<events>"
    Then the code's names are refused because "<reason>"

    Examples:
      | states                           | events                       | reason                              |
      | serving leaving draining         | drain shut idle deadline stop | state drained is not known to the   |
      | serving leaving draining drained x | drain shut idle deadline stop | state x is not in the file        |
      | serving leaving draining drained | drain shut idle deadline     | event stop is not known to the code |
      | serving leaving draining drained | drain shut idle deadline stop x | event x is not in the file       |

  Scenario: The library's own log stays out of the way
    Its machine tells every event at the level INFO. A fleet that logs routing
    decisions at that level would drown in them.

    When every log line is collected while charts are read and fired
    Then the library has said nothing at INFO or above
