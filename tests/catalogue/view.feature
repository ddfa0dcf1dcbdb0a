Feature: The configuration that one instance knows

  Background:
    Given an empty view

  Scenario: Catalogue entries are found by token, model and service
    When the platform lists workspace "pilot" at 1, pool "ice" at 2 and service "charts" at 3
    Then workspace "pilot" is found by its token
    And pool "ice" is found by its model
    And pool "charts" is found as a service and pool "ice" is not

  Scenario: A stale peer cannot revert a change
    An instance has applied version 5. A peer that was disconnected still has
    version 1 and sends it after the link is back. The old text must neither
    become active again nor count as a change.
    Given the platform lists workspace "pilot" of "old owner" at 1
    And a watch returns workspace "pilot" of "new owner" at 5
    When a peer sends workspace "pilot" of "old owner" at 1
    Then no active catalogue entry changed
    And workspace "pilot" belongs to "new owner"

  Scenario: A deleted catalogue entry is not restored by a peer
    The watch returned the deletion at 5, so the peer's version 1 is older than
    the known state of the key.
    Given the platform lists workspace "pilot" of "owner" at 1
    And a watch returns the deletion of workspace "pilot" at 5
    When a peer sends workspace "pilot" of "owner" at 1
    Then no workspace is active

  Scenario: A catalogue entry deleted before the start is not restored
    The instance lists at revision 9 and never receives the key, which was
    deleted at 5. Only the completeness of the list shows that version 1 is
    stale.
    Given the platform lists only workspace "other" at 9
    When a peer sends workspace "pilot" of "owner" at 1
    Then no active catalogue entry changed
    And only workspace "other" is active

  Scenario: A deleted catalogue entry is not restored as the last valid one
    At 9 the instance knows that the key is deleted. Then an invalid object is
    written there, and a stale peer has the valid one from before the deletion,
    which must not be used as the last valid one of the key.
    Given the platform lists only workspace "other" at 9
    And a watch returns an invalid workspace "pilot" at 10
    When a peer sends workspace "pilot" of "owner" at 1
    Then only workspace "other" is active

  Scenario: An update after a gap does not make the view complete
    The update of a peer starts after the revision of the instance. If the
    instance counted as up to date, it would never request the changes between.
    Given the platform lists only workspace "other" at 9
    When a peer sends the changes between 12 and 15
    Then workspace "late" is found by its token
    And the view is complete only up to 9

  Scenario: A missed deletion is derived from the next list
    Given the platform lists workspace "pilot" of "owner" at 1
    When the platform lists only workspace "other" at 9
    Then only workspace "other" is active

  Scenario: An invalid catalogue entry is rejected; the last valid one stays
    It was written without the editor. The callers of the workspace must
    not be refused because of it, and the operator must see what is wrong.
    Given the platform lists workspace "pilot" of "owner" at 1
    When a watch returns an invalid workspace "pilot" at 2
    Then no active catalogue entry changed
    And workspace "pilot" belongs to "owner"
    And "catalogue/workspace/pilot" is rejected at 2 for "owner" and "limits.weight"
    When a watch returns workspace "pilot" of "mended" at 3
    Then workspace "pilot" belongs to "mended"
    And nothing is rejected

  Scenario: Two workspaces claim one token and two pools one model
    Given the platform lists workspace "pilot" at 1, pool "ice" at 2 and service "charts" at 3
    When a watch returns workspace "thief" at 4 with the token of "pilot"
    And a watch returns pool "copy" at 5 with the model of "ice"
    Then workspace "pilot" is found by its token
    And pool "ice" is found by its model
    And "catalogue/workspace/thief" is rejected at 4 for "token_hashes" and "pilot"
    And "catalogue/pool/copy" is rejected at 5 for "models" and "ice"
    When a watch returns the deletion of workspace "pilot" at 6
    Then workspace "thief" is found by the token of "pilot"

  Scenario Outline: A peer that is behind gets what it lacks
    Given a peer that listed 40 catalogue entries at revision 40
    And <edits> edits and deletions that the peer missed
    When both views send each other what they lack
    Then both views are equal
    And the update contains <rows> changes

    Examples: the second peer is behind the deletions that are kept
      | edits | rows |
      | 10    | 10   |
      | 60    | all  |

  Scenario: An instance that starts empty in an outage gets all from a peer
    Given a peer that listed 40 catalogue entries at revision 40
    When the peer and an empty view send each other what they lack
    Then both views are equal

  Scenario: The result of any order of delivery is that of the order of versions
    Given 300 random histories of 12 keys with valid, invalid and deleted objects
    When each is delivered shuffled, twice and in batches to three instances
    Then each instance has the same content as a reference in version order
    And the digests of the instances are equal

  Scenario: Instances that received different changes converge by digests alone
    Given 300 random histories of 12 keys with valid, invalid and deleted objects
    When instances list, watch and gossip at random moments
    Then after a last round of gossip all instances are equal to the platform
