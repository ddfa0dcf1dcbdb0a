Feature: Prompts with a part that crashes engines

  One part of a prompt crashes each engine that begins to respond to it. No two
  of the requests are alike, and sound ones share their caller and all other
  parts with them.

  Scenario: Requests with one deadly part stop
    Guards against engines that end one after the other for as long as such
    requests come, and against sound requests that are refused with them.

    When requests with deadly parts come in these ways:
      | seconds | way                                              |
      | 12      | 6 a second, the second part kills                |
      | 12      | 6 a second, the first part kills                 |
      | 12      | 6 a second, one of two parts kills               |
      | 16      | one in 2 s, the second part kills                |
      | 12      | 6 a second, while sides and an entry are replaced |
    Then at most 3 requests with one deadly part reach engines later than 3 s after its fifth crash
    And at most 5 engines crash by each deadly part
    And sound requests begin at least half as often as without them

  Scenario: No crash that the prompts did not cause blocks a part
    Guards against parts that are blocked because they were there when engines
    crashed for another reason, or lost power all at once.

    When engines crash in these ways, beside sound requests with many new parts:
      | seconds | way                                  |
      | 12      | one each 0.8 s, by themselves        |
      | 12      | five at the same moment, each 4 s    |
    Then no request is refused because of crashes
    And sound requests begin at least half as often as without them
