Feature: accepted configuration is in force everywhere within 4 s and stays

  Scenario: of two operators who edit the same version one wins
    Both read the pool at one version and apply their edits at once. One is
    written; the other is told the version that it was based on and the one
    that stands there, and nothing of it comes into force.
    Given two entries and a side, each with a way of its own to the platform
    When two operators apply edits of one version at the same instant
    Then one edit is written and in force everywhere
    And the other operator is told both versions

  Scenario Outline: an entry is cut off during a change: <how>
    Its link to the other entry and the side is whole, so that it learns from
    them what the platform can't tell it; nothing reverts when it rejoins.
    Given two entries and a side, each with a way of its own to the platform
    When the way of "entry-a" <how>
    And a token is added
    Then all instances have the change in force within 4 s
    When the token is taken away
    Then all instances have the change in force within 4 s
    When the way of "entry-a" is whole again
    Then for 4 s no instance goes back

    Examples:
      | how            |
      | is cut         |
      | falls silent   |

  Scenario: an entry that is cut off knows no other entry
    It has only a link to a side, which another entry tells of the change. The
    side sends its digest; the entry that is behind must ask for the rest.
    Given one entry and a side, each with a way of its own to the platform
    When the way of "entry-a" is cut
    And "entry-b" starts, which "entry-a" does not hear of
    And a token is added
    Then all instances have the change in force within 4 s
    When the token is taken away
    Then all instances have the change in force within 4 s

  Scenario: an entry's way falls silent in the middle of a watch, and is mended
    Nothing tells the entry that its watch will never be answered, and there
    is no neighbour. It gives up when the answer is overdue and asks again.
    Given one entry and a side, each with a way of its own to the platform
    When the way of "entry-a" loses all answers
    And a token is added
    And the way of "entry-a" loses nothing any more
    Then all instances have the change in force within 4 s

  Scenario: an entry starts empty while the platform is down
    It learns the configuration from its neighbours, serves callers, and
    takes the platform's news when it comes back.
    Given two entries and a side, each with a way of its own to the platform
    When a token is added
    Then all instances have the change in force within 4 s
    When the platform has an outage
    And "entry-b" is killed and started empty, dialled by the others
    Then all instances have the change in force within 4 s
    When the outage ends and the token is taken away
    Then all instances have the change in force within 4 s
    And for 4 s no instance goes back

  Scenario Outline: watches that <fault>
    Given two entries and a side, each with a way of its own to the platform
    When the platform's watches <fault>
    And 10 changes are made, one every 0.5 s
    Then all instances have the change in force within 4 s
    And no instance ever went back

    Examples:
      | fault              |
      | lag 1 s            |
      | repeat old news    |
      | break              |

  Scenario: a platform that throttles reads
    Given two entries and a side, each with a way of its own to the platform
    When the platform takes 6 reads a second
    And 10 changes are made, one every 0.5 s
    Then all instances have the change in force within 4 s
    And no instance ever went back

  Scenario: a bad entry written past the editor
    It is refused with its reason at every entry; the good one before it stays
    in force, also at an entry that starts later.
    Given two entries and a side, each with a way of its own to the platform
    When a token is added
    And a bad version of its workspace is written past the editor
    Then every entry tells why it refuses it
    And the token is still accepted everywhere
    When "entry-b" is killed and started empty, dialled by the others
    Then every entry tells why it refuses it
    And the token is still accepted everywhere
