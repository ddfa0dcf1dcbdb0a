Feature: a side sends its engine load commands under a lease

  Scenario: a change of the catalogue causes one load command, and idle sides make no calls
    Given an engine that checks fencing tokens, its side and an entry
    When the pool names one more model
    Then the engine receives one command to load it
    And callers can use the new model
    When 5 s pass without a change
    Then the side has made 2 calls to the platform
    When the pool names yet another model
    Then the engine receives one more command, with a greater fencing token

  Scenario: the response to the write that acquires the lease is lost
    The write takes effect and the connection is closed. The side reads its own
    term back and sends the command with the fencing token stored there.
    Given an engine that ignores fencing tokens, its side and an entry
    When the platform loses the next response to a write
    And the pool already names one more model
    Then the engine receives one command to load it
    And its fencing token is the version of the lease

  Scenario: during an outage requests are served and the load command waits
    Given an engine that checks fencing tokens, its side and an entry
    When the side is disconnected from the platform
    And the pool names one more model
    Then callers get responses while the engine has received no command
    When the side can reach the platform again
    Then the engine receives one command to load it

  Scenario Outline: a suspended holder resumes after its successor has sent a command
    The first side holds the lease and is suspended before it sends its command.
    A second side of the same engine takes over and sends one. When the first is
    resumed, it must not send a command under its old lease.
    Given an engine that <kind> fencing tokens, its side and an entry
    And the network path from the side to the engine is slow
    When the pool names one more model
    And the first side holds the lease
    And the first side is suspended
    And a second side of the engine starts
    Then the engine receives one command to load it
    When the first side is resumed
    And 5 s pass without a change
    Then the engine still has 1 command, with the second side's fencing token

    Examples:
      | kind    |
      | checks  |
      | ignores |

  Scenario: a delayed load command arrives after the successor's
    The first side has sent its command when it is suspended, with the bytes
    withheld on the network path. They arrive after the second side's command:
    the engine, which checks, refuses the old fencing token.
    Given an engine that checks fencing tokens, its side and an entry
    And the network path from the side to the engine is slow
    When the pool names one more model
    And the first side holds the lease
    And its load command is withheld on the network path
    And the first side is suspended
    And a second side of the engine starts
    Then the engine receives one command to load it
    When the network path forwards the withheld bytes
    And 3 s pass without a change
    Then the engine still has 1 command, with the second side's fencing token

  Scenario Outline: two sides of one engine that <kind>
    Given an engine that <kind> fencing tokens, its side and an entry
    And a second side of the engine
    When the pool names one more model
    And 3 s pass without a change
    Then the fencing tokens of the engine's commands never decrease
    And callers can use the new model

    Examples:
      | kind    |
      | checks  |
      | ignores |
