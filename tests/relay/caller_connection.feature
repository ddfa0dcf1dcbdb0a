Feature: A caller's connection while its caller does not read

  Scenario: A caller that reads slowly is not cut
    Guards against a ready response that is broken off though its caller reads.

    Given a connection whose caller reads 100 bytes a second of 4000
    When it is checked each second for 30 seconds, with 15 allowed
    Then it is open

  Scenario: A caller that reads nothing is cut
    Guards against connections that stay for ever, with what waits on them.

    Given a connection whose caller reads 0 bytes a second of 4000
    When it is checked each second for 30 seconds, with 15 allowed
    Then it is aborted

  Scenario: A connection with an unread response is aborted when it is evicted
    Guards against connections that are counted no more and never end: a close
    waits for the caller to read.

    Given a connection whose caller reads 0 bytes a second of 4000
    When it is evicted
    Then it is aborted

  Scenario: A caller that reads late is invited to send its body
    Guards against a caller that waits for an invitation for ever, because the
    response before it ended while its connection was full.

    Given a connection with a request in progress
    When the next request expects to be invited
    And the response ends while its caller does not read
    Then the caller is not invited yet
    When the caller reads
    Then the caller is invited

  Scenario: A request in the same piece as one in chunks
    It is not read, as trailers could have become its headers. Guards against a
    connection that stays open and never answers it.

    Given a connection
    When a request in chunks and another one arrive in one piece
    And the response ends
    Then the connection closes, and one request was served

  Scenario: A caller without room is refused once the response before it ends
    Guards against a caller that waits for an invitation and gets neither that
    nor a refusal.

    Given a connection with a request in progress
    When the next request expects to be invited, and has no room
    And the response ends while its caller does not read
    When the caller reads
    Then the caller is refused with status 503
