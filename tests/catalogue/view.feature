Feature: The configuration that one node knows

  Background:
    Given an empty view

  Scenario: Entries are found by token, model and service
    When the platform lists workspace "pilot" at 1, pool "ice" at 2 and service "charts" at 3
    Then workspace "pilot" is found by its token
    And pool "ice" is found by its model
    And pool "charts" is found as a service and pool "ice" is not

  Scenario: A stale neighbour cannot revert a change
    An entry node took in version 5. A neighbour that was cut off still has
    version 1 and passes it on after the link is back. The old text must not
    come into force again, nor be counted as a change.
    Given the platform lists workspace "pilot" of "old owner" at 1
    And a watch brings workspace "pilot" of "new owner" at 5
    When a neighbour passes on workspace "pilot" of "old owner" at 1
    Then nothing in force changed
    And workspace "pilot" belongs to "new owner"

  Scenario: A deleted entry is not resurrected by a neighbour
    The deletion at 5 was seen by the watch, so the neighbour's version 1 is
    older than what is known of the key.
    Given the platform lists workspace "pilot" of "owner" at 1
    And a watch brings the deletion of workspace "pilot" at 5
    When a neighbour passes on workspace "pilot" of "owner" at 1
    Then no workspace is in force

  Scenario: An entry deleted before the node started is not resurrected
    The node lists at revision 9 and never hears of the key, which was deleted
    at 5. Only the completeness of the list tells that version 1 is stale.
    Given the platform lists only workspace "other" at 9
    When a neighbour passes on workspace "pilot" of "owner" at 1
    Then nothing in force changed
    And only workspace "other" is in force

  Scenario: A deleted entry is not resurrected as the last good one
    The node knows at 9 that the key is gone. Somebody then writes a bad entry
    there, and a stale neighbour has the good one from before the deletion,
    which must not be taken for the last good one of the bad entry.
    Given the platform lists only workspace "other" at 9
    And a watch brings a bad workspace "pilot" at 10
    When a neighbour passes on workspace "pilot" of "owner" at 1
    Then only workspace "other" is in force

  Scenario: A part with a gap before it does not count as everything
    A neighbour's news starts after what the node knows. If the node counted
    itself up to date then, it would never ask for what lies in between.
    Given the platform lists only workspace "other" at 9
    When a neighbour passes on what changed between 12 and 15
    Then workspace "late" is found by its token
    And the view knows everything up to 9 only

  Scenario: A deletion that was missed is known from the next list
    Given the platform lists workspace "pilot" of "owner" at 1
    When the platform lists only workspace "other" at 9
    Then only workspace "other" is in force

  Scenario: A bad entry is refused with its reasons and the last good one stays
    Somebody writes past the editor. The callers of the workspace must not be
    turned away for it, and the operator must read what is wrong.
    Given the platform lists workspace "pilot" of "owner" at 1
    When a watch brings a bad workspace "pilot" at 2
    Then nothing in force changed
    And workspace "pilot" belongs to "owner"
    And "catalogue/workspace/pilot" is rejected at 2 for "owner" and "limits.weight"
    When a watch brings workspace "pilot" of "mended" at 3
    Then workspace "pilot" belongs to "mended"
    And nothing is rejected

  Scenario: Two workspaces claim one token and two pools one model
    Given the platform lists workspace "pilot" at 1, pool "ice" at 2 and service "charts" at 3
    When a watch brings workspace "thief" at 4 with the token of "pilot"
    And a watch brings pool "copy" at 5 with the model of "ice"
    Then workspace "pilot" is found by its token
    And pool "ice" is found by its model
    And "catalogue/workspace/thief" is rejected at 4 for "token_hashes" and "pilot"
    And "catalogue/pool/copy" is rejected at 5 for "models" and "ice"
    When a watch brings the deletion of workspace "pilot" at 6
    Then workspace "thief" is found by the token of "pilot"

  Scenario Outline: A peer that is behind gets what it lacks
    Given a peer that listed 40 entries at revision 40
    And <edits> edits and deletions that the peer missed
    When both views tell each other what they lack
    Then both views are equal
    And the update held <rows> changes

    Examples: the second peer is behind what is remembered of deletions
      | edits | rows |
      | 10    | 10   |
      | 60    | all  |

  Scenario: A node that starts empty in an outage learns all from a neighbour
    Given a peer that listed 40 entries at revision 40
    When the peer and an empty view tell each other what they lack
    Then both views are equal

  Scenario: Any order of delivery comes to what the order of versions gives
    Given 300 random histories of 12 keys with good, bad and deleted entries
    When each is delivered shuffled, twice and in parts to three nodes
    Then each node holds what a naive view in version order holds
    And the digests of the nodes are equal

  Scenario: Nodes that saw different parts converge by digests alone
    Given 300 random histories of 12 keys with good, bad and deleted entries
    When nodes list, watch and gossip at random moments
    Then after a last round of gossip all nodes are equal to the platform
