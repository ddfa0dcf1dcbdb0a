Feature: Limit on concurrent responses

  An engine decodes all its responses at one pace, which gets slower the more
  there are and the more it prefills beside them. The case: responses have
  become longer, the batch is large, and more is requested than can be served.
  In a full batch the longest responses reach their callers' deadlines
  unfinished: the caller waits for 12 s and has nothing, and the slot was
  occupied all that time.

  Scenario: Responses that are too long for a full batch
    Given an engine of 64 slots and responses of 300 tokens
    When 20 a second are requested for 60 seconds
    Then under a third as many are truncated at their deadline as in a full batch
    And no fewer than nine tenths as many are complete

  Scenario: Short responses use the full batch
    Given an engine of 64 slots and responses of 30 tokens
    When 40 a second are requested for 30 seconds
    Then the full batch is used

  Scenario: A small batch is used in full
    Given an engine of 12 slots and responses of 240 tokens
    When 20 a second are requested for 30 seconds
    Then the full batch is used

  Scenario: Half of the batch is used at any decoding pace
    If requests were refused at an engine whose slots are mostly free, callers
    would gain nothing any more.

    Given an engine of 64 slots and responses of 3000 tokens
    When 20 a second are requested for 30 seconds
    Then half of the batch is used

  Scenario: The full batch is used again when responses become short
    Given an engine of 64 slots and responses of 3000 tokens
    When 20 a second are requested for 30 seconds
    And responses have 30 tokens for 40 seconds
    Then the full batch is used

  Scenario: The decoding pace is estimated from rough lengths
    Callers' estimates are right at the median and off by a factor of 1.6 on
    average; a mean of plain ratios would be a third too slow.

    Given a decoding pace of 0.02 seconds a token
    When 400 responses end whose lengths were roughly estimated
    Then the decoding pace is estimated within 15 percent
