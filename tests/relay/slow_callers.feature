Feature: Callers that read slowly

  Scenario: A slow caller's connection to a server serves the next caller
    The entry stops reading from a server while a caller reads slowly, and the
    end of the response arrives in the same read. The connection returned to the
    pool with reading paused, and the next request's response was never read.

    Given a relay in front of 1 plain server
    When a caller fetches a long response and does not read it
    And another caller fetches over the same connection
    Then the caller gets status 200
    And it took less than 1 second

  Scenario: A server that is not read for a slow caller is not called silent
    The entry stops reading from a server for as long as a caller reads nothing.
    Guards against a second run of the stream, at another server, because the
    first one has sent nothing meanwhile.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    When the servers send long streams
    And a caller requests a resumable stream, and reads nothing for 1.6 seconds
    Then it receives every event of the long stream once, and the end
    And the servers got 1 request

  Scenario: The time that a server was not read does not count as silence
    Guards against an entry that looks for silent servers just after it has
    resumed reading, before anything can have been read.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    When the servers send long streams
    And the entry looks for silent servers whenever a caller reads again
    And a caller requests a resumable stream, and reads nothing for 1.6 seconds
    Then it receives every event of the long stream once, and the end
    And the servers got 1 request

  Scenario: A server that stays silent after a slow caller reads on is left
    Guards against a stream that hangs because its caller once read slowly.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    When the first server stops midway in a long stream
    And a caller requests a resumable stream, and reads nothing for 1.6 seconds
    Then it receives every event of the long stream once, and the end
    And the servers got 2 requests

  Scenario: A resumable stream that is never read is ended by its time-out
    Guards against a stream that lasts as long as its caller stays connected,
    since no silence of its server ends it.

    Given a relay in front of 2 model servers
    And a time-out of 1.8 seconds
    When the servers send long streams
    And a caller requests a resumable stream, and reads nothing for 2.2 seconds
    Then the caller's response is truncated
    And the servers got 1 request

  Scenario: A slow caller slows down the next attempt too
    A server is listed as restarted while its stream is not read. Guards against
    a second server whose whole stream is read into the entry's memory, since
    only the first one's connection was paused.

    Given a relay in front of 2 model servers
    And a time-out of 10 seconds
    And every server is listed with start 900 and revision 20
    When the servers send long streams
    And a caller requests a resumable stream, and its server restarts unread
    Then the servers got 2 requests
    And the entry holds less than 4 MB for the caller
    And the caller then receives every event of the long stream once, and the end

  Scenario: A slow caller slows down its next request too
    Guards against a pipelined stream that is read into the entry's memory while
    its caller has not read the response before it.

    Given a relay in front of 1 model server and 1 plain server
    And a time-out of 10 seconds
    When a caller pipelines a long fetch and a long stream, and reads nothing
    Then the entry holds less than 12 MB for the caller
    And the model server is not asked for the stream
    When the caller has read the first response, and reads no more
    Then the model server is asked for the stream
    And the entry holds less than 12 MB for the caller
