Feature: Model engines and plain services

  Scenario Outline: Model engines
    Given a side of a model pool
    When an order for "<path>" brings ""
    Then the attempt has ended whole with cost <cost>

    Examples:
      | path    | cost |
      | /events | 2    |
      | /usage  | 40   |

  Scenario: A frozen engine is offered no work
    The engine's process is stopped. It still takes connections, answers
    nothing, and would swallow every request that finds a free slot. After a
    few seconds without a load report the side offers none; when the engine
    answers again, all of them.
    Given a side of a model pool
    When the engine freezes
    Then the side offers 0 slots
    When the engine thaws
    Then the side offers 2 slots

  Scenario: Plain services cost their run time
    Given a side with 2 slots and its configuration
    When an order for "/echo" brings ""
    Then the attempt has ended whole with a cost above nothing
