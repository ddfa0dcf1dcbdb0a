Feature: The side adapts a server's concurrency limit

  Scenario Outline: The limit finds the knee of the throughput
    The server reports its load 2 s late and 5 % wrong. Beyond its knee more
    concurrent requests bring no more tokens; a fixed limit wastes slots below
    the knee, or builds queues above it.

    Given a server whose throughput stops growing at <knee> requests
    And an initial limit of <initial> slots
    When it is kept busy for 4000 seconds
    Then 99 percent of its throughput is used in the second half
    And at most 10 percent of its slots are used beyond the knee

    Examples:
      | knee | initial |
      | 5    | 8       |
      | 8    | 8       |
      | 20   | 8       |
      | 37   | 8       |

  Scenario: A queue inside the server lowers the limit
    Given a server whose throughput stops growing at 5 requests
    And it queues further requests
    And an initial limit of 8 slots
    When it is kept busy for 600 seconds
    Then the limit stays between 4 and 6 at the end
