Feature: The service ledger of an entry

  Scenario: A lost report is mended by the next one
    Given a synced ledger
    And peer b reports pilot at service 10
    When peer b reports pilot at service 30
    Then the tag of pilot rose by 20 since the first report

  Scenario: Idle time earns nothing
    Given a synced ledger
    And agency runs work of cost 100 while nobody waits
    When agency waits
    And pilot waits
    Then pilot is at most two mean costs below agency

  Scenario: A vanished peer sets no tag back
    A peer that charged work vanishes. Dropping its charges would hand its
    workspaces a windfall at everybody's expense.

    Given a synced ledger
    And peer b reports pilot at 10 with 5 charged
    When peer b is lost
    Then the tag of pilot did not fall

  Scenario: A peer that comes back adds only what it served meanwhile
    Given a synced ledger
    And peer b reports pilot at service 10
    When peer b is lost
    And peer b reports pilot at service 17
    Then the tag of pilot rose by 7 since the first report

  Scenario: An entry that starts empty begins at the fleet's virtual time
    An entry restarts and knows no service. Were its bids at zero, its
    workspaces would take every slot until they caught up.

    Given a fresh ledger
    When a side tells virtual time 500
    And pilot waits
    Then the tag of pilot is 500

  Scenario: A wrong hint is trued up while the request runs
    Given a synced ledger
    When pilot starts work hinted at 2
    And its cost so far is 8
    Then the tag of pilot is 8
    And settling at 9 leaves the tag of pilot at 9
