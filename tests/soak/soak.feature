Feature: The relay's programs under faults from outside

  Real processes before stand-ins, killed, suspended, stopped and restarted
  while servers die, the store goes away and the configuration changes. What
  callers are told is held against what the servers ran.

  Scenario Outline: Nothing that was promised is broken, seed <seed>
    When the soak plays seed <seed> for 6 seconds
    Then no promise is broken

    Examples:
      | seed |
      | 101  |
      | 102  |
