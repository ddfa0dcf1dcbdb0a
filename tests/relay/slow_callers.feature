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
