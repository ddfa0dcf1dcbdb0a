Feature: What one entry takes on

  Figures: an entry of 150 MB, as the users' smaller instances have, holds some
  650 requests; a day of their kind with most callers at one entry and a
  workspace that sends seven times its usual brings it twice as many.

  Scenario: A flood at a crowded entry does not shut out a small workspace
    Callers of a whole domain come to one entry, and one workspace floods it.
    Refused blindly, the few requests of a pilot would be lost in the flood
    before any side hears of them, however little the pilot was served.

    Given an entry of 150 MB
    When agency asks 2000 times, and nothing ends
    Then agency is refused
    And pilot is taken in

  Scenario: A crowded entry is shared evenly
    Given an entry of 150 MB
    When 8 workspaces ask 200 times each, and nothing ends
    Then none has more than a fifth more than another

  Scenario: An entry that is not crowded shares nothing out
    Given an entry of 150 MB
    When agency asks 300 times, and nothing ends
    Then agency is taken in

  Scenario: A late entry takes in who has least under way
    Given an entry of 150 MB
    When agency asks 300 times, and nothing ends
    And pilot asks 1 times, and nothing ends
    And its loop is 1 second late
    Then agency is refused
    And pilot is taken in

  Scenario: An entry short of memory takes on no more than it holds
    An instance that runs out of memory is killed, with all that it holds.

    Given an entry of 150 MB
    When agency asks 100 times, and nothing ends
    And it uses 130 MB
    Then agency is refused
    When 20 of its requests end
    Then agency is taken in
    And it keeps no more connections than it had
