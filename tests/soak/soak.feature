Feature: Entries and sides under faults from outside

  Real processes in front of stand-ins are killed, suspended, stopped and
  restarted while servers crash, the store is unreachable and the configuration
  changes. The responses to callers are compared with what the servers ran.

  Scenario Outline: No guarantee is violated, seed <seed>
    When the soak test runs seed <seed> for 6 seconds
    Then no guarantee is violated

    Examples:
      | seed |
      | 101  |
      | 102  |

  # Guards against processes that end by themselves at a disturbed start.
  Scenario: Disturbed starts end no process
    When the soak test runs disturbed starts of seed 73 for 8 seconds
    Then no guarantee is violated

  # Guards against a signal that takes the exit code of a process that has just
  # ended, so that its end counts as one by itself.
  Scenario: A signal to a process that has just ended leaves its exit code
    When 20 processes of the soak test are killed amid other signals
    Then each has ended by SIGKILL

  # Guards against a stand-in whose next start responds on a connection that was
  # accepted before its crash: streams then mix two versions.
  Scenario: A server that starts again serves no connection of its former start
    When servers of the soak test crash and start while connections are accepted
    Then no response came from the next start

  # Guards against a stream that is cut because its sound server falls silent
  # beside a new version of the configuration.
  Scenario: Planned work and silent servers leave no request unanswered
    When the soak test runs planned work of seed 3 for 8 seconds
    Then no guarantee is violated

  # Guards against requests that reach a server more than 2 s after the store
  # has accepted its leaving, while only the sides are cut off from the store.
  Scenario: Servers that leave while the sides lose the store get nothing late
    When the soak test lets servers leave beside sides cut, seed 2, for 20 seconds
    Then no guarantee is violated
