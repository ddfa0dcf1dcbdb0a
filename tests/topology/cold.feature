Feature: Which servers are cold

  Scenario: A word is counted from its first reading
    The list is read again when a view changes hands; its words are older then,
    its servers are no colder for that.

    Given a server that tells at 10 seconds that it is cold for 3 seconds
    When the same word is read again at 12 seconds
    Then the server is cold until 13 seconds

  Scenario: A server may become cold again without a new start
    Given a server that tells at 10 seconds that it is cold for 3 seconds
    When it tells at 20 seconds that it is cold for 2 seconds
    Then the server is cold until 22 seconds

  Scenario: What is presumed is not put aside by an older word
    The evacuation of its failure domain has ended; it became cold shortly
    before, and its entry tells that seconds later.

    Given a server that tells at 10 seconds that it is cold for 0 seconds
    When it is presumed cold at 20 seconds for 3 seconds
    And it tells at 21 seconds that it is cold for 0 seconds
    Then the server is cold until 23 seconds

  Scenario: A server that never was cold is not held up
    Given a server that tells at 10 seconds that it is cold for 0 seconds
    Then it was never cold

  Scenario: A server that is gone is forgotten
    Given a server that tells at 10 seconds that it is cold for 3 seconds
    When it is listed no more
    Then nothing is known of it
