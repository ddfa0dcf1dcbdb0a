Feature: How many answers are written at once

  An engine writes all its answers at one pace, the slower the more there are
  and the more it reads beside them. Pattern: outputs have grown, the batch is
  large, and more is asked for than can be served. In a full batch the longest
  answers reach their callers' deadlines unfinished: the caller waits for 12 s
  and has nothing, and the slot was taken all the while.

  Scenario: Answers that are too long for a full batch
    Given an engine of 64 slots and answers of 300 tokens
    When 20 a second are asked for in 60 seconds
    Then under a third as many are cut at their deadline as in a full batch
    And no fewer than nine tenths as many are whole

  Scenario: Short answers use the whole batch
    Given an engine of 64 slots and answers of 30 tokens
    When 40 a second are asked for in 30 seconds
    Then the whole batch is used

  Scenario: A small batch is used whole
    Given an engine of 12 slots and answers of 240 tokens
    When 20 a second are asked for in 30 seconds
    Then the whole batch is used

  Scenario: Half of the batch is used whatever the pace
    Refused beside an engine whose slots are mostly free, callers would gain
    nothing any more.

    Given an engine of 64 slots and answers of 3000 tokens
    When 20 a second are asked for in 30 seconds
    Then half of the batch is used

  Scenario: The whole batch is used again when answers are short
    Given an engine of 64 slots and answers of 3000 tokens
    When 20 a second are asked for in 30 seconds
    And answers are of 30 tokens again for 40 seconds
    Then the whole batch is used

  Scenario: The pace is learned from rough estimates
    Callers' estimates are right at the median and off by a factor of 1.6 on
    the average; a mean of plain ratios would be a third too slow.

    Given a pace of 0.02 seconds a token
    When 400 answers end whose lengths were roughly told
    Then the pace is known within 15 in 100
