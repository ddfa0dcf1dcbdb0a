Feature: The service ledger of an entry

  Scenario: The next report makes up for a lost one
    Given a synced ledger
    And peer b reports pilot at service 10
    When peer b reports pilot at service 30
    Then the tag of pilot rose by 20 since the first report

  Scenario: Idle time earns nothing
    Given a synced ledger
    And agency runs a request of cost 100 while no other request waits
    When agency waits
    And pilot waits
    Then pilot is at most two mean costs below agency

  Scenario: A disconnected peer lowers no tag
    A peer disconnects while it has charges. Dropping its charges would give its
    workspaces service for free, at the expense of all others.

    Given a synced ledger
    And peer b reports pilot at 10 with 5 charged
    When peer b disconnects
    Then the tag of pilot did not fall

  Scenario: A peer that reconnects adds only the service since its last report
    Given a synced ledger
    And peer b reports pilot at service 10
    When peer b disconnects
    And peer b reports pilot at service 17
    Then the tag of pilot rose by 7 since the first report

  Scenario: An entry that starts empty begins at the fleet's virtual time
    An entry restarts and knows no service. If its bids were at zero, its
    workspaces would take every slot until they caught up.

    Given a fresh ledger
    When a side reports virtual time 500
    And pilot waits
    Then the tag of pilot is 500

  Scenario: A wrong estimate is corrected while the request runs
    Given a synced ledger
    When pilot starts a request estimated at 2
    And its cost so far is 8
    Then the tag of pilot is 8
    And settling at 9 leaves the tag of pilot at 9
