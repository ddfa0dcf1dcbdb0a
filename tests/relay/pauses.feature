Feature: Streams that are late for their callers

  The routes allow pauses of 0.2 seconds, and 1 second until the first event.

  Scenario: A server pauses longer than the route allows
    Guards against late streams of which an operator learns only from callers.

    Given a relay in front of 1 model server
    When the servers pause for 0.35 seconds before event 4
    And a caller requests a resumable stream
    Then one line reports a pause of 0.35 seconds before event 4
    And it says that the stream was not resumed and the caller not slow
    And the page counts 1 stream late by a pause and 0 by its first event
    And the page has 0 streams with a ratio up to 1.5 and 1 up to 4.0

  Scenario: A stream on time leaves no line
    Guards against a line for each stream, which would hide the late ones.

    Given a relay in front of 1 model server
    When the servers pause for 0.06 seconds before event 4
    And a caller requests a resumable stream
    Then no line reports a late stream
    And the page counts 0 streams late by a pause and 0 by its first event
    And the page has 0 streams with a ratio up to 0.25 and 1 up to 1.0

  Scenario: A caller that reads slowly
    The entry reads nothing from the server meanwhile. Guards against an
    operator who looks for the cause at the server.

    Given a relay in front of 1 model server
    And a time-out of 10 seconds
    When the servers send long streams
    And a caller requests a resumable stream, and reads nothing for 1 seconds
    Then one line reports a pause of over 0.5 seconds
    And it says that the caller was slow

  Scenario: The gap between two servers of a resumed stream is a pause
    Guards against pauses that are measured per attempt: callers see this one.

    Given a relay in front of 2 model servers
    When the servers pause for 0.35 seconds before event 4
    And the first server that gets a stream interrupts it
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And one line reports a pause of 0.35 seconds before event 4
    And it names the last server, and says that the stream was resumed

  Scenario: A pause before a stream is resumed stays its longest one
    Guards against a second attempt that hides what the first one did.

    Given a relay in front of 2 model servers
    When the servers pause for 0.35 seconds before event 2
    And the servers pause for 0.25 seconds before event 6
    And the first server that gets a stream interrupts it
    And a caller requests a resumable stream
    Then the caller receives all events once and the end
    And one line reports a pause of 0.35 seconds before event 2
    And it names the first server, and says that the stream was not resumed
    And the page counts 1 stream late by a pause and 0 by its first event

  Scenario: A truncated stream counts with its pauses so far
    Given a relay in front of 1 model server
    When the servers pause for 0.35 seconds before event 3
    And every server interrupts its next stream
    And a caller requests a stream that may run once
    Then the caller's response is truncated
    And one line reports a pause of 0.35 seconds before event 3
    And the page counts 1 stream late by a pause and 0 by its first event

  Scenario Outline: Waiting for the first event is no pause
    Guards against a stream that is called late for a pause when it has only
    begun late, and against a route without a pause objective that has one.

    Given a relay in front of 1 model server
    And objectives of 0.2 seconds for the first event and <gap> for pauses
    When the servers pause for 0.35 seconds before event <event>
    And a caller requests a resumable stream
    Then the page counts <paused> streams late by a pause and <begun> by its first event
    And <lines> lines report a late stream
    And the page has pauses of <counted> streams

    Examples:
      | gap | event | paused | begun | lines | counted |
      | 0.2 | 1     | 0      | 1     | 0     | 1       |
      | 0   | 1     | 0      | 1     | 0     | 0       |
      | 0   | 4     | 0      | 0     | 0     | 0       |

  Scenario: A request that gets no event is no stream
    Guards against refused requests in the counts of streams.

    Given a relay in front of 1 model server
    When the server sheds its next request
    And a caller requests a stream that may run once
    Then the page counts 0 streams late by a pause and 0 by its first event
    And the page has pauses of 0 streams

  Scenario: More than 50 routes are counted together
    Guards against a page that grows with each new name of a route.

    Given a relay in front of 1 model server
    When a caller requests a stream on each of 60 routes
    Then the page has pauses of 60 streams on 51 routes, 10 of them on others
