Feature: a stranger at a listener costs little, and only for a while

  Without these bounds anybody who reaches a peers' or operators' port could
  fill the memory by one header, or lock the fleet out by idle connections.

  Background:
    Given a guarded server with 20 connections and short bounds

  Scenario: a head without an end is cut
    A stranger sends one header on and on. The bytes are not kept: the
    connection is cut soon, and others are served as before.
    When a stranger sends a header without an end
    Then the stranger's connection is cut
    And another call is answered

  Scenario Outline: a head that is late is cut
    When a stranger <does>
    Then the stranger's connection is cut
    And another call is answered

    Examples:
      | does                              |
      | sends nothing                     |
      | sends a byte of a head at a time  |
      | is answered, then sends half a head |

  Scenario: a body without an end is cut after its answer
    When a stranger is answered and sends its body on and on
    Then the stranger's connection is cut
    And another call is answered

  Scenario: idle connections give way
    When strangers open 60 connections and send nothing
    Then another call is answered

  Scenario: connections with half a head give way like idle ones
    Guards against strangers who keep everybody out by a few bytes on each of
    many connections.
    When strangers open 60 connections and send half a head on each
    Then another call is answered

  Scenario: a slow body of a request under way is not cut
    The bounds are on heads. A request whose body takes longer is the
    application's to bound.
    When a peer sends a body that takes longer than a head may
    Then the peer gets its answer
