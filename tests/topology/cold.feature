Feature: Cold starts of servers

  Scenario: A reported cold start counts from the first reading of its record
    The list is read again when the source of a view changes. The records are
    older by then, and their servers are no colder for that.

    Given a server that reports at 10 seconds that it is cold for 3 seconds
    When the same record is read again at 12 seconds
    Then the server is cold until 13 seconds

  Scenario: A server may become cold again without a new start
    Given a server that reports at 10 seconds that it is cold for 3 seconds
    When it reports at 20 seconds that it is cold for 2 seconds
    Then the server is cold until 22 seconds

  Scenario: An older record does not end an assumed cold period
    The evacuation of the server's failure domain has ended. The server became
    cold shortly before, and its record shows that seconds later.

    Given a server that reports at 10 seconds that it is cold for 0 seconds
    When it is assumed cold at 20 seconds for 3 seconds
    And it reports at 21 seconds that it is cold for 0 seconds
    Then the server is cold until 23 seconds

  Scenario: A server that was never cold is not limited
    Given a server that reports at 10 seconds that it is cold for 0 seconds
    Then it was never cold

  Scenario: The state of a removed server is removed
    Given a server that reports at 10 seconds that it is cold for 3 seconds
    When it is no longer listed
    Then nothing is known of it
