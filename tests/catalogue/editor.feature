Feature: An operator's hand on the catalogue

  Background:
    Given a platform with workspace "pilot" of "harbour"

  Scenario: Entries are written from JSON with comments, shown, and removed
    When an operator applies
      """
      {
        // a lone pilot
        kind: "workspace", name: "pilot-2", owner: "harbour office",
        class: "interactive", limits: {concurrency: 3},
      }
      """
    Then the edit is made and "catalogue/workspace/pilot-2" holds plain JSON
    When the operator applies the same again
    Then nothing had to be changed
    When the operator removes "catalogue/workspace/pilot-2"
    Then "catalogue/workspace/pilot-2" is gone

  Scenario: Two operators race
    Both have read the same version. The first one's edit stands; the second
    must not overwrite it unseen, and reads both versions in the error.
    Given an operator has seen the version of "pilot"
    When another operator applies workspace "pilot" of "second"
    And the operator applies workspace "pilot" of "first" over the version seen
    Then the race is lost with both versions named
    And workspace "pilot" in the platform belongs to "second"
    When the operator removes "pilot" over the version seen
    Then the race is lost with both versions named

  Scenario: The reply of a write is lost
    The write stands, its reply does not come. The editor reads back and finds
    its own text, so that the operator hears "done" once and for one version.
    Given the replies of the next 1 writes are lost
    When the operator applies workspace "pilot" of "third"
    Then the edit is made once
    Given the replies of the next 1 writes are lost
    When the operator removes "catalogue/workspace/pilot"
    Then "catalogue/workspace/pilot" is gone

  Scenario: The reply is lost and another operator is faster than the read
    What was written stood for a moment and was replaced. To say "done" would
    be wrong: something else is in force now.
    Given the replies of the next 1 writes are lost
    And another operator writes over the next edit of "pilot"
    When the operator applies workspace "pilot" of "third" and it fails
    Then the race is lost with both versions named

  Scenario: Another operator writes between the read and the deletion
    The deletion was decided on a text that no longer stands there; it must
    not take the new one with it.
    Given another operator writes over "pilot" before the next deletion
    When the operator removes workspace "pilot" and it fails
    Then the race is lost with both versions named
    And workspace "pilot" in the platform belongs to "faster"

  Scenario: A write that never arrives is written again under its condition
    Given the next 1 writes are lost on their way
    When the operator applies workspace "pilot" of "third"
    Then the edit is made once

  Scenario: The platform goes down after a write and can't be read back
    Given the platform goes down after the next write, its reply lost
    When the operator applies workspace "pilot" of "third" and it fails
    Then the operator hears that the outcome is uncertain

  Scenario: A write is lost and the next one is refused
    The first write hangs somewhere and may still arrive; the second is refused
    for an outage. "Refused" alone would let the operator believe that nothing
    can come of it.
    Given the next 1 writes are lost and the ones after refused
    When the operator applies workspace "pilot" of "third" and it fails
    Then the operator hears that the outcome is uncertain

  Scenario Outline: A bad entry is never written
    When the operator applies <entry> and it fails
    Then the operator reads <place> and <reason>
    And the platform was not written to

    Examples:
      | entry                                                                | place                | reason                 |
      | {kind: "workspace", name: "A b", owner: "", limits: {weight: 0}}     | name                 | owner                  |
      | {kind: "workspace", name: "a", owner: "x", limits: {weight: 0}}      | limits.weight        | greater than 0         |
      | {kind: "workspace", name: "a", owner: "x", limits: {weight: NaN}}    | limits.weight        | finite                 |
      | {kind: "workspace", name: "a", owner: "x", colour: "red"}            | colour               | not permitted          |
      | {kind: "pool", name: "p", owner: "x", class: "model"}                | models               | at least one           |
      | {kind: "pool", name: "p", owner: "x", class: "model", models: ["m"]} | models               | belongs to ice         |
      | {kind: "pool", name: "p", class: "service", repeatable: [{}]}        | repeatable.0.method  | owner                  |
      | {kind: "tree"}                                                       | workspace            | pool                   |
      | {kind:                                                               | JSON with comments   | near                   |
      | 5                                                                    | object               | Input                  |

  Scenario: An edit is in force when every instance says so
    Instance e2 lags behind, e3 does not answer at first, e4 joins while the
    operator waits. Only when all of them know the version is it in force.
    Given instances that come to know version 7 one after the other
    When the operator waits for version 7
    Then all 4 instances have it in force
    When the operator waits for version 8 for a short time
    Then no instance has it in force and 4 are behind
    Given an instance refuses "k" with "limits.weight: too small"
    When the operator waits for version 7
    Then the refusal of 1 instance is told
