Feature: Whether a backend server leaves, by its responses

  "1-2 leaving" is a response that arrived at 2 s, to a request of 1 s. "3
  refused" is a connection that was refused at 3 s, before another was accepted.

  Scenario Outline: Late and repeated responses
    When these reach a side: <events>
    Then its beliefs after each are: <beliefs>

    Examples:
      | events                                   | beliefs                   |
      | 1-2 leaving                              | leaving                   |
      | 1-2 leaving, 3-4 leaving                 | leaving, leaving          |
      | 1-2 staying                              | staying                   |
      | 1-2 leaving, 0-3 staying                 | leaving, leaving          |
      | 1-3 leaving, 2-4 staying                 | leaving, leaving          |
      | 1-2 leaving, 3-4 staying                 | leaving, staying          |
      | 1-2 leaving, 3-4 staying, 1-5 leaving    | leaving, staying, staying |
      | 1-2 leaving, 3-4 staying, 5-6 leaving    | leaving, staying, leaving |
      | 1-2 leaving, 2-5 leaving, 4-6 staying    | leaving, leaving, leaving |
      | 1-2 leaving, 3 refused                   | leaving, staying          |
      | 1-2 leaving, 1 refused                   | leaving, leaving          |
      | 3 refused, 1-4 leaving                   | staying, leaving          |
