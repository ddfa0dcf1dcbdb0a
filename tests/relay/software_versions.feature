Feature: Streams continue at the software version that began them

  Engines of several software versions serve one pool. What two versions
  generate does not fit together, and no engine checks who continues a stream.

  Scenario: The lines of a stream show versions, and what continues it
    Guards against an incident that can't be traced: without the versions and
    the continued request, no line tells a right continuation from a wrong one.

    When 1 stream at engines of v1 and v1 is interrupted in this way:
      | way                                                 |
      | an engine leaves, callers continue at another entry |
    Then the lines show that v1 continues the stream after its last event
