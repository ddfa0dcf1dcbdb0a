Feature: Streams continue at the software version that began them

  Engines of several software versions serve one pool. What two versions
  generate does not fit together, and no engine checks who continues a stream.

  Scenario: No way of continuing a stream mixes two software versions
    Guards against complete responses that consist of two versions' events.

    When 20 streams at engines of v1, v1 and v2 are interrupted in these ways:
      | way                                                       |
      | an engine crashes                                         |
      | an engine leaves                                          |
      | an engine leaves, callers continue at another entry       |
      | an entry is killed, and an engine leaves                  |
      | an engine and its side are lost                           |
      | all entries are replaced, and an engine leaves            |
      | a side is lost, then an entry is killed                   |
    Then no stream has events of two versions
    And no stream lacks an event or has one twice
    And every stream that an engine of its version can continue is complete

  Scenario Outline: A stream whose version can't be had is refused at once
    Guards against callers that wait for a version which is gone, or that get
    the wrong one because nobody remembers who began their stream.

    When 10 streams at engines of v1, v1 and v2 are interrupted in these ways:
      | way   |
      | <way> |
    Then no stream has events of two versions
    And the streams of v1 are refused at once, because <reason>

    Examples:
      | way                               | reason                                          |
      | all engines of v1 leave           | no server has software version v1               |
      | all sides and an entry are killed | which software version began the stream is unknown |

  Scenario: An engine that restarts under its id with other software
    Guards against a start that is taken for the one before it: no engine
    refuses a request for its id, and records show a restart only later.

    When 20 streams at engines of v1, v1 and v2, which may restart under their ids, are interrupted in these ways:
      | way                                                          |
      | an engine restarts as v2 unnoticed, and another crashes      |
      | an engine restarts as v2, and is listed after streams began  |
      | an engine restarts as v2 unnoticed, then it and an entry end |
    Then no stream has events of two versions
    And no stream lacks an event or has one twice

  Scenario: A stream waits for a server of its version as long as its caller
    Guards against streams that are refused during an update because the few
    engines of their version are busy for longer than a first event may take.

    When the caller of a stream of v1 continues it, and the only engine of v1 is busy for 1.2 seconds
    Then no stream has events of two versions
    And every stream that an engine of its version can continue is complete

  Scenario: Where all servers have one version, nobody has to know the stream
    Guards against refusals in a fleet that is not being updated.

    When 10 streams at engines of v1, v1 and v1 are interrupted in these ways:
      | way                               |
      | all sides and an entry are killed |
    Then the streams of v1 are complete

  Scenario: The lines of a stream show versions, and what continues it
    Guards against an incident that can't be traced: without the versions and
    the continued request, no line tells a right continuation from a wrong one.

    When 1 stream at engines of v1 and v1 is interrupted in this way:
      | way                                                 |
      | an engine leaves, callers continue at another entry |
    Then the lines show that v1 continues the stream after its last event
