Feature: the long run finds broken promises

  The run itself is a command (python -m benchmarks.chaos); here a short one
  shows that it is clean, and that it sees a fault that is planted.

  Scenario: a short run is clean
    When 400 requests meet pairs of faults
    Then no promise is broken

  Scenario: claims that are not respected
    Two submissions with one key both run: a claim that stands already doesn't
    keep the second one out.
    Given each key counts as free
    When 400 requests meet pairs of faults
    Then the run reports doubled

  Scenario: slots that are lost
    Now and then the end of a request does not free its slot.
    Given every 50th end is forgotten
    When 400 requests meet pairs of faults
    Then the run reports leaked
