Feature: The chaos run detects violated guarantees

  The run itself is a command (python -m benchmarks.chaos). Here a short run
  shows that nothing is violated, and that the run detects an injected defect.

  Scenario: A short run violates nothing
    When 400 requests run under pairs of faults
    Then no guarantee is violated

  Scenario: Claims that are not respected
    Two submissions with the same idempotency key both run, because an existing
    claim doesn't stop the second one.
    Given each idempotency key counts as free
    When 400 requests run under pairs of faults
    Then the run reports violations of kind doubled

  Scenario: Slots that are lost
    From time to time the end of a request does not free its slot.
    Given every 50th end of a request is dropped
    When 400 requests run under pairs of faults
    Then the run reports violations of kind leaked
