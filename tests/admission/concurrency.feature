Feature: The side learns a server's concurrency

  Scenario Outline: The limit finds the knee of the throughput
    The server reports its load 2 s late and 5 % wrong. Beyond its knee more
    requests at once bring no more tokens; a fixed guess wastes slots below the
    knee, or builds queues above it.

    Given a server whose throughput stops growing at <knee> requests
    And a first guess of <first> slots
    When it is kept busy for 4000 seconds
    Then 99 percent of its throughput is used in the second half
    And 10 percent of its slots at most are taken beyond the knee

    Examples:
      | knee | first |
      | 5    | 8     |
      | 8    | 8     |
      | 20   | 8     |
      | 37   | 8     |

  Scenario: A queue inside the server lowers the limit
    Given a server whose throughput stops growing at 5 requests
    And it queues what is above
    And a first guess of 8 slots
    When it is kept busy for 600 seconds
    Then the limit stays between 4 and 6 at the end
