Feature: Editing the catalogue

  Background:
    Given a platform with workspace "pilot" of "harbour"

  Scenario: Catalogue entries are written from JSON with comments, shown, and removed
    When an operator applies
      """
      {
        // a lone pilot
        kind: "workspace", name: "pilot-2", owner: "harbour office",
        class: "interactive", limits: {concurrency: 3},
      }
      """
    Then the edit is made and "catalogue/workspace/pilot-2" contains plain JSON
    When the operator applies the same again
    Then nothing had to be changed
    When the operator removes "catalogue/workspace/pilot-2"
    Then "catalogue/workspace/pilot-2" is deleted

  Scenario: Two concurrent edits
    Both operators have read the same version. The edit of the first is kept;
    that of the second must not overwrite it, and fails with an error that names
    both versions.
    Given an operator has read the version of "pilot"
    When another operator applies workspace "pilot" of "second"
    And the operator applies workspace "pilot" of "first" with the version that was read
    Then the edit conflicts and the error names both versions
    And workspace "pilot" in the platform belongs to "second"
    When the operator removes "pilot" with the version that was read
    Then the edit conflicts and the error names both versions

  Scenario: The response to a write is lost
    The write takes effect, but its response does not arrive. The editor reads
    the object and finds its own text, so it reports success for one version.
    Given the responses to the next 1 writes are lost
    When the operator applies workspace "pilot" of "third"
    Then the edit is made once
    Given the responses to the next 1 writes are lost
    When the operator removes "catalogue/workspace/pilot"
    Then "catalogue/workspace/pilot" is deleted

  Scenario: The response is lost and another operator writes before the read
    The written text was replaced before it was read. A reported success would
    be wrong, since something else is active now.
    Given the responses to the next 1 writes are lost
    And another operator overwrites the next edit of "pilot"
    When the operator applies workspace "pilot" of "third" and it fails
    Then the edit conflicts and the error names both versions

  Scenario: Another operator writes between the read and the deletion
    The deletion was decided on a text that has been replaced; it must not
    delete the new one.
    Given another operator overwrites "pilot" before the next deletion
    When the operator removes workspace "pilot" and it fails
    Then the edit conflicts and the error names both versions
    And workspace "pilot" in the platform belongs to "faster"

  Scenario: A write that never arrives is repeated under the same condition
    Given the next 1 writes are lost before they arrive
    When the operator applies workspace "pilot" of "third"
    Then the edit is made once

  Scenario: The platform fails after a write and can't be read
    Given the platform fails after the next write, whose response is lost
    When the operator applies workspace "pilot" of "third" and it fails
    Then the outcome is reported as uncertain

  Scenario: A write is lost and the next one is rejected
    The first write may still arrive; the second is rejected because of an
    outage. An error that reports only the rejection would wrongly imply that
    nothing can be written any more.
    Given the next 1 writes are lost and later ones rejected
    When the operator applies workspace "pilot" of "third" and it fails
    Then the outcome is reported as uncertain

  Scenario Outline: An invalid catalogue entry is never written
    When the operator applies <text> and it fails
    Then the error names <place> and <reason>
    And nothing was written to the platform

    Examples:
      | text                                                                 | place                | reason                 |
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

  Scenario: An edit is complete when it is active at every instance
    Instance e2 lags behind, e3 does not respond at first, and e4 joins while the
    operator waits. The edit is complete when all of them have the version.
    Given instances that activate version 7 one after another
    When the operator waits for version 7
    Then it is active at all 4 instances
    When the operator waits for version 8 for a short time
    Then it is active at no instance and 4 are behind
    Given an instance rejects "k" with "limits.weight: too small"
    When the operator waits for version 7
    Then the rejection by 1 instance is reported
