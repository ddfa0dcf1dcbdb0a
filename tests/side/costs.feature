Feature: The cost of a request is read from its answer

  Scenario Outline: Model engines
    Given a side of a model pool
    When an order for "<path>" brings ""
    Then the attempt has ended whole with cost <cost>

    Examples:
      | path    | cost |
      | /events | 2    |
      | /usage  | 40   |

  Scenario: Plain services cost their run time
    Given a side with 2 slots and its configuration
    When an order for "/echo" brings ""
    Then the attempt has ended whole with a cost above nothing
