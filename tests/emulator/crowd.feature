Feature: Emulated load

  The emulator is valid only as far as it ranks the naive placement policies
  as the users' measurements do; tests/placement checks that.

  Scenario: The same seed gives the same outcome
    When a load of 30 requests a second is simulated twice with seed 5
    Then both simulations have the same outcome

  Scenario: Every request is served or refused once
    When a load of 80 requests a second is simulated with seed 3
    Then in time, late and refused add up to the number of requests

  Scenario: A step of the rate is in the middle third
    When a load of 20 requests a second with a step of 3 is drawn with seed 1
    Then the middle third has between 2.5 and 3.5 times as many as the others

  Scenario: A workspace that floods does not starve the others
    One workspace sends half of two and a half times what the engines can
    prefill. Each of the others sends less than its fair share.

    When a load of 60 requests a second is simulated with seed 2
    Then the workspace with the lowest fraction in time is the flood
    And each other workspace has at least 1.2 times its fraction in time

  Scenario: The command prints a row for each policy and rate
    When "sardinetrack experiment --rate 20 --rate 40 --seconds 4 --seeds 1" is run in this process
    Then it prints 6 rows, 2 of them for each policy

  Scenario Outline: Invalid input is a clear error
    When "sardinetrack experiment <options>" is run in this process
    Then it ends with code 2 and prints "<reason>"

    Examples:
      | options     | reason        |
      | --rate 0    | not above 0   |
      | --seeds 0   | not 1 or more |
      | --engines x | invalid       |
