Feature: Model engines and plain services

  Scenario Outline: Model engines
    Given a side of a model pool
    When a run request for "<path>" with body "" is sent
    Then the attempt has ended complete with cost <cost>

    Examples:
      | path    | cost |
      | /events | 2    |
      | /usage  | 40   |

  Scenario: A frozen engine is offered no requests
    The engine's process is suspended. It still accepts connections, responds
    to nothing, and would accept a request for each free slot. After a few
    seconds without a load report the side offers no slots; when the engine
    responds again, it offers all of them.
    Given a side of a model pool
    When the engine is suspended
    Then the side offers 0 slots
    When the engine is resumed
    Then the side offers 2 slots

  Scenario: The cost of plain services is their run time
    Given a side with 2 slots and its configuration
    When a run request for "/echo" with body "" is sent
    Then the attempt has ended complete with a positive cost
