Feature: Workspaces that request more than their share receive the same

  One entry for each engine, ten seconds. Each of two large workspaces requests
  more than the engines can prefill; eight small ones request little. Service
  is the whole prompt, and the response counted twice, as the users count it.

  Scenario Outline: Two workspaces with different requests receive alike
    Guards against a workspace that gets less than half of another one for six
    seconds, because <why>.

    Given <engines> emulated engines
    And a workspace with <parts> shared parts of <shared> tokens, own parts of <own> and responses of <output>
    And a workspace with 100 shared parts of 6300 tokens, own parts of 2890 and responses of 54
    When their loads are simulated with seed 1
    Then in any six seconds from second 2 on, neither receives less than 0.5 of the other
    And the small workspaces have at least 0.95 of their requests served in time

    Examples:
      | engines | parts | shared | own  | output | why                                       |
      | 6       | 100   | 6300   | 2890 | 54     | of nothing: their requests are alike      |
      | 6       | 50000 | 6300   | 2890 | 54     | its shared parts are new each time        |
      | 6       | 100   | 568    | 8600 | 54     | its prompts are mostly their own          |
      | 6       | 100   | 6300   | 600  | 54     | less of its prompts is cached             |
      | 6       | 60    | 172    | 543  | 280    | its responses are long                    |
      | 22      | 1     | 6300   | 2890 | 54     | all its prompts have the same home server |

  Scenario: A workspace with one home server joins one that had all engines
    Guards against a workspace that gets a twentieth of another one, because its
    home server is full and others are asked only while they report room.

    Given 22 emulated engines
    And a workspace with 100 shared parts of 6300 tokens, own parts of 2890 and responses of 54
    And a workspace with 1 shared parts of 6300 tokens, own parts of 2890 and responses of 54
    And it begins at second 2
    When their loads are simulated with seed 1
    Then in any six seconds from second 3 on, neither receives less than 0.5 of the other
    And the small workspaces have at least 0.95 of their requests served in time
