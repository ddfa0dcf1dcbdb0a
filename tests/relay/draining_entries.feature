Feature: What a draining entry still sends

  An entry that stops accepts requests for a while, until the load balancer has
  removed it. What it sends to a server late in its grace period is interrupted
  at the end of it.

  Scenario Outline: A request that waits is refused in time: <wait>
    Guards against requests that were accepted in time, are sent late in the
    grace period and get no response when it ends.

    Given a relay on virtual time in front of 1 server
    When the entry is stopped, and 2.5 seconds later a caller sends a long request that waits 1 second <wait>
    Then the caller gets status 503 and when to retry, 2.8 to 3.0 seconds after the stop
    And the last line on the request says not_run_draining
    And the servers got 0 requests
    And nothing of it is held

    Examples:
      | wait                    |
      | for a permit            |
      | for a trial             |
      | for a connection        |
      | for the stream's origin |

  Scenario: Requests that wait for the entry's own slots are refused in time
    Guards against the same where a slot becomes free late in the grace period;
    also against a running stream that is interrupted with those that wait.

    Given a relay on virtual time in front of 1 server
    When the entry is stopped while some streams run and others wait, and all slots become free 4 seconds later
    Then those that ran get status 200, and the others status 503 from 2.8 to 3.0 seconds after the stop
    And nothing of it is held

  Scenario: A request whose last byte comes late is refused
    Guards against a request that is accepted by the time of its first byte.

    Given a relay on virtual time in front of 1 server
    When the entry is stopped, and the last byte of a request comes 2.9 seconds later
    Then the caller gets status 503 and when to retry, 2.9 to 3.1 seconds after the stop
    And the servers got 0 requests

  Scenario Outline: A request is not repeated late: the server <act>
    Guards against retries late in the grace period, which are interrupted when
    it ends. The caller gets what is known of the first attempt.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a fetch runs, and 4 seconds later its server <act>
    Then the caller gets status <status>, 4.0 to 4.2 seconds after the stop
    And the servers got 1 request

    Examples:
      | act         | status |
      | disconnects | 502    |
      | fails it    | 500    |

  Scenario: A request that is turned away late is refused as by a stopping entry
    Guards against a caller that waits before it asks another entry, as if no
    server were available.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a fetch runs, and 4 seconds later its server turns it away
    Then the caller gets status 503 and when to retry, 4.0 to 4.2 seconds after the stop
    And the last line on the request says not_run_draining
    And the servers got 1 request

  Scenario: A retry that waits ends in time, and not as "not run"
    Guards against a retry that is sent late, and against a "not run" to a
    request that may have run.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a fetch runs, 2.5 seconds later its server disconnects, and the next connection takes 1 second
    Then the caller gets status 502, 2.8 to 3.0 seconds after the stop
    And the servers got 1 request

  Scenario: A retry after a relief that found no server ends in time too
    Guards against the same where another attempt was looked for before.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped after a stream's relief was refused, 2.5 seconds later its server disconnects, and the next permit takes 1 second
    Then the caller gets status 502, 2.8 to 3.0 seconds after the stop
    And the servers got 1 request

  Scenario: A silent server is not relieved late, and may go on
    Guards against a second attempt late in the grace period, and against a
    running request that is given up because no second one is allowed.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a stream has not begun, and its server goes on 5 seconds later
    Then the caller gets status 200, 5.0 to 5.2 seconds after the stop
    And the caller receives all events once and the end
    And the servers got 1 request

  Scenario: A relief that waits at the bound does not end the silent request
    Guards against a running request that is refused because the second attempt
    that was to relieve its server may not be sent any more.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped 1 second after a stream was sent, its relief waits for a permit from 2 to 4 seconds, and its server goes on after 5 seconds
    Then the caller gets status 200, 5.0 to 5.2 seconds after the stop
    And the caller receives all events once and the end
    And the servers got 1 request

  Scenario: A stream that has begun goes on at another server
    Guards against truncating a stream whose caller has a part of it: it would
    be interrupted at the end of the grace period at worst, and most end before.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a stream has not begun, and 4 seconds later its server cuts it after some events
    Then the caller gets status 200, 4.0 to 4.2 seconds after the stop
    And the caller receives all events once and the end
    And the servers got 2 requests

  Scenario: A request is not given up late because its server has restarted
    Guards against a running request that is abandoned to be repeated, and then
    is not: the list of servers lags, so the later start may run it.

    Given a relay on virtual time in front of 2 servers
    When the entry is stopped while a fetch runs, 4 seconds later all servers are listed with a later start, and its server responds at 6 seconds
    Then the caller gets status 200, 6.0 to 6.2 seconds after the stop
    And the servers got 1 request

  Scenario: A request that runs at its server goes on
    Guards against a running request that is refused as if it waited.

    Given a relay on virtual time in front of 1 server
    When the entry is stopped while a report runs, and 6 seconds later its server responds
    Then the caller gets status 200, 6.0 to 6.2 seconds after the stop
    And the servers got 1 request
