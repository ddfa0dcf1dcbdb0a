Feature: accepted configuration is active everywhere within 4 s and stays active

  Scenario: of two operators who edit the same version one succeeds
    Both read the workspace at one version and apply their edits concurrently.
    One is written; the other operator gets an error that names the version that
    the edit was based on and the current one, and nothing of it becomes active.
    Given two entries and a side, each with its own network path to the platform
    When two operators apply edits of the same version concurrently
    Then one edit is written and active everywhere
    And the other operator gets an error that names both versions

  Scenario Outline: an entry is disconnected from the platform during a change: <how>
    Its links to the other entry and the side still work, so it receives from
    them what the platform can't send; nothing reverts when it reconnects.
    Given two entries and a side, each with its own network path to the platform
    When the network path of "entry-a" <how>
    And the token is replaced
    Then the change is active at all instances within 4 s
    When the token is replaced again
    Then the change is active at all instances within 4 s
    When the network path of "entry-a" is restored
    Then for 4 s no instance reverts

    Examples:
      | how     |
      | is cut  |
      | freezes |

  Scenario: an entry that is disconnected from the platform has no link to another entry
    It has only a link to a side, which receives the change from another entry.
    The side sends its digest; the entry, which is behind, must request the
    rest.
    Given one entry and a side, each with its own network path to the platform
    When the network path of "entry-a" is cut
    And "entry-b" starts, unknown to "entry-a"
    And the token is replaced
    Then the change is active at all instances within 4 s
    When the token is replaced again
    Then the change is active at all instances within 4 s

  Scenario: an entry's network path drops the response to a watch, and recovers
    Nothing tells the entry that its watch will never get a response, and there
    is no neighbour. It gives up when the response is overdue and calls again.
    Given one entry and a side, each with its own network path to the platform
    When the network path of "entry-a" drops all responses
    And the token is replaced
    And the network path of "entry-a" forwards responses again
    Then the change is active at all instances within 4 s

  Scenario: an entry starts without state while the platform is down
    It receives the configuration from its neighbours, serves callers, and
    applies the platform's changes when the platform is back.
    Given two entries and a side, each with its own network path to the platform
    When the token is replaced
    Then the change is active at all instances within 4 s
    When the platform has an outage
    And "entry-b" is killed and started again without state, at the same address
    Then the change is active at all instances within 4 s
    When the outage ends and the token is replaced
    Then the change is active at all instances within 4 s
    And for 4 s no instance reverts

  Scenario Outline: watches that <fault>
    Given two entries and a side, each with its own network path to the platform
    When the platform's watches <fault>
    And 10 changes are made, one every 0.5 s
    Then the change is active at all instances within 4 s
    And no instance has ever reverted

    Examples:
      | fault              |
      | lag 1 s            |
      | repeat old changes |
      | break              |

  Scenario: a platform that throttles reads
    Given two entries and a side, each with its own network path to the platform
    When the platform accepts 6 reads a second
    And 10 changes are made, one every 0.5 s
    Then the change is active at all instances within 4 s
    And no instance has ever reverted

  Scenario: an invalid object written directly into the platform
    Every entry rejects it with its reason; the valid version before it stays
    active, also at an entry that starts later.
    Given two entries and a side, each with its own network path to the platform
    When the token is replaced
    And an invalid version of its workspace is written directly into the platform
    Then every entry reports why it rejects it
    And the token is still accepted everywhere
    When "entry-b" is killed and started again without state, at the same address
    Then every entry reports why it rejects it
    And the token is still accepted everywhere
