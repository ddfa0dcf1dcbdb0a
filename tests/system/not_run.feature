Feature: "not run" is true, and a call that must not run twice runs at most once

  Each call is a POST that the service's pool doesn't list as repeatable. The
  service counts what it runs by the caller's marker. At the end of each
  scenario every response is compared with the counts: "not run" means zero, a
  complete response means one, and none may be more than one.

  Scenario: the network path is cut before the run request is sent
    The side can't be reached when the call arrives. No byte is sent, so the
    caller gets "not run" and may try again.
    Given a service behind TCP proxies
    When the network path to the side is cut
    And a bill is posted through both entries
    Then the outcome of each post is not_run_no_server
    And all responses are consistent with the executions, also 10 s later
    When the network path to the side is restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: the network path is cut while the run request is in transit
    The network withholds the run request, and the link then breaks
    permanently. The side can't be queried whether it arrived, so the outcome is
    unknown.
    Given a service behind TCP proxies
    When the network path to the side freezes
    And a bill is posted through both entries
    And the network path to the side is cut
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    When the network path to the side is restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: the network path is cut after the run request has arrived
    The service runs the call when the link breaks permanently. The entry can't
    query the side: "not run" would be false.
    Given a service behind TCP proxies
    When a slow bill is posted through both entries and runs
    And the network path to the side is cut
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    When the network path to the side is restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: the network path is interrupted after the run request has arrived
    The service runs the call when the link breaks; it is restored immediately.
    The entry queries the side, which reports that the call runs: the response
    is lost, and the call isn't sent again.
    Given a service behind TCP proxies
    When a slow bill is posted through both entries and runs
    And the network path to the side is interrupted for a moment
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood

  Scenario: run requests are lost in transit
    Bytes to the side are dropped while the connections stay open. The entries
    detect the silence, their status queries get no response, and the outcome is
    unknown.
    Given a service behind TCP proxies
    When the network path to the side drops bytes towards the side
    And a bill is posted through both entries
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    When the network path to the side is cut and restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: responses are lost in transit
    The run request arrives and runs; all bytes from the side are dropped,
    including the response to the status query.
    Given a service behind TCP proxies
    When the network path to the side drops bytes from the side
    And a bill is posted through both entries
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    When the network path to the side is cut and restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: a delayed run request arrives after its caller got "not run"
    The network withholds the run request; the entry's connection breaks, and a
    new one to the side works. The side confirms that it won't start the run
    request, the caller's deadline passes, and it gets "not run". Then the run
    request arrives.
    Given a service behind TCP proxies, and a maximum wait of 1 s
    When the network path to the side freezes
    And a bill is posted through both entries
    And after 1.2 s the entries lose their connections and can connect again
    Then the outcome of each post is not_run_deadline
    When the withheld run requests arrive at the side
    Then all responses are consistent with the executions, also 10 s later
    And the service ran none of the posts
    And no slot is lost

  Scenario: a delayed run request arrives after its call was tried again
    As before, but the caller still waits: the call is sent again, runs, and
    gets a response. The first run request, which arrives last, must not run it
    again.
    Given a service behind TCP proxies
    When the network path to the side freezes
    And a bill is posted through both entries
    And after 0.5 s the entries lose their connections and can connect again
    Then the outcome of each post is complete
    When the withheld run requests arrive at the side
    Then all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a suspended side resumes after the response
    The side's process is suspended while a run request waits in its socket. The
    entry can't detect that; after the response the side resumes and reads the
    run request, whose connection is closed.
    Given a service behind TCP proxies
    When the side is suspended
    And a bill is posted through both entries
    Then the outcome of each post is outcome_unknown
    When the side is resumed
    Then all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a side is suspended and resumes before any time-out
    A short suspension is not a failure: both calls are served once.
    Given a service behind TCP proxies
    When the side is suspended
    And a bill is posted through both entries
    And after 1.5 s the side is resumed
    Then the outcome of each post is complete
    And all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a side restarts without state while calls run
    The side is killed in the middle of a call, and another process takes its
    name and address. It has no state of the call and must not respond "not
    run".
    Given a service behind TCP proxies
    When a slow bill is posted through both entries and runs
    And the side is killed and started again at its address
    Then the outcome of each post is outcome_unknown
    And all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a run request for a side arrives at its successor
    The network withholds the run request while the side is killed and started
    again. The caller gets an unknown outcome. The run request arrives at the
    new process, is addressed to the former one, and doesn't run.
    Given a service behind TCP proxies
    When the network path to the side freezes
    And a bill is posted through both entries
    And the side is killed and started again at its address
    And after 0.1 s the entries lose their connections and can connect again
    Then the outcome of each post is outcome_unknown
    When the withheld run requests arrive at the side
    Then all responses are consistent with the executions, also 10 s later
    And the service ran none of the posts
    And no slot is lost, and a small workspace is served during a flood

  Scenario: the connection between a side and its service breaks
    The network path between them is cut: a call not sent before has not run,
    one sent before has failed there, and the caller gets an error that says so.
    Given a service behind TCP proxies
    When a slow bill is posted through both entries and runs
    And the network path to the service is cut
    Then the outcome of each post is server_failed
    When a bill is posted through both entries
    Then all responses are consistent with the executions, also 10 s later
    When the network path to the service is restored
    Then no slot is lost, and a small workspace is served during a flood

  Scenario: many calls while the network path fails in every way
    Callers post bills through both entries while, one after the other, the
    network path is cut, is frozen, closes the entries' connections with their
    bytes withheld and drops bytes in one direction, and the side is suspended.
    Given a service behind TCP proxies
    When 200 bills are posted while the network path and the side fail in turn
    Then all responses are consistent with the executions, also 10 s later
    And no slot is lost, and a small workspace is served during a flood
