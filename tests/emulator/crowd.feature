Feature: Emulated crowds

  The emulator is trusted only as far as it ranks the naive orders of servers
  as the users' days do; the crowd of tests/placement holds that.

  Scenario: The same seed plays the same
    When a crowd of 30 requests a second is played twice with seed 5
    Then both plays came to the same

  Scenario: Every request is served or refused once
    When a crowd of 80 requests a second is played with seed 3
    Then in time, late and refused add up to what was asked

  Scenario: A jump of the traffic comes in the middle third
    When a crowd of 20 requests a second with a jump of 3 is drawn with seed 1
    Then the middle third holds between 2.5 and 3.5 times as many as the others

  Scenario: A workspace that floods does not starve the others
    One workspace sends half of two and a half times what the engines read.
    The others ask for less than their share each.

    When a crowd of 60 requests a second is played with seed 2
    Then the workspace that fares worst is the flood
    And each other workspace is served at least 1.2 times as often as it

  Scenario: The command prints a row for each order and rate
    When "sardinetrack experiment --rate 20 --rate 40 --seconds 4 --seeds 1" is run in this process
    Then it prints 6 rows, 2 of them for each order

  Scenario Outline: Bad input is a clear error
    When "sardinetrack experiment <words>" is run in this process
    Then it ends with code 2 and says "<reason>"

    Examples:
      | words       | reason        |
      | --rate 0    | not above 0   |
      | --seeds 0   | not 1 or more |
      | --engines x | invalid       |
