Feature: How many requests one entry accepts

  Figures: an entry of 150 MB, as the users' smaller instances have, has memory
  for some 650 requests. A day of their workload with most callers at one entry,
  and a workspace that sends seven times its usual load, brings it twice as many.

  Scenario: A flood at a crowded entry does not shut out a small workspace
    Callers of a whole domain come to one entry, and one workspace floods it.
    If requests were refused regardless of their workspace, the few of a pilot
    would be lost in the flood before any side receives them, however little
    service the pilot has received.

    Given an entry of 150 MB
    When agency sends 2000 requests, and none ends
    Then agency is refused
    And pilot is accepted

  Scenario: A crowded entry is shared evenly
    Given an entry of 150 MB
    When 8 workspaces send 200 requests each, and none ends
    Then none has more than a fifth more than another

  Scenario: An entry that is not crowded sets no shares
    Given an entry of 150 MB
    When agency sends 300 requests, and none ends
    Then agency is accepted

  Scenario: A late entry accepts the workspace with the fewest requests
    Given an entry of 150 MB
    When agency sends 300 requests, and none ends
    And pilot sends 1 requests, and none ends
    And its event loop is 1 second late
    Then agency is refused
    And pilot is accepted

  Scenario: An entry short of memory accepts no more requests than it has
    An instance that runs out of memory is killed, with all requests that it
    runs.

    Given an entry of 150 MB
    When agency sends 100 requests, and none ends
    And it uses 130 MB
    Then agency is refused
    When 20 of its requests end
    Then agency is accepted
    And it keeps no more connections than it had
