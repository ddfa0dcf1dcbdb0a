Feature: The side's record of attempts

  Scenario: A record pushed out by newer ones is not called "not started"
    A side remembers few ended attempts. One that ran is pushed out of its
    memory; the entry asks for it after a broken connection. "Not started"
    would be a lie, and the entry would run a billed lookup twice.

    Given a book that remembers 2 ended attempts
    When attempts a1, a2, a3 ran to their end
    Then the book calls a1 unknown

  Scenario: An old book forgets, and trusts itself again
    Given a book that remembers 2 ended attempts
    When attempts a1, a2, a3 ran to their end
    And 1000 seconds go by in the book
    Then the book calls a9 not_started
