Feature: Starts and ends of the processes of an instance

  Scenario Outline: Settings change while a process loads <library>: <role>
    The signal comes before the event loop runs, or before the first library is
    loaded. Guards against a process that SIGHUP ends because it has no handler
    yet.

    Given a process of role <role> that loads <library> slowly
    When it gets SIGHUP while it loads them
    And it has loaded them
    Then it runs, and has read its settings again

    Examples:
      | role  | library   |
      | entry | httptools |
      | side  | httptools |
      | entry | pathlib   |
      | side  | typing    |

  Scenario Outline: A process is stopped while it is loaded: <role>
    Guards against a stop by the default action of SIGTERM, which looks like a
    crash.

    Given a process of role <role> that loads httptools slowly
    When it gets SIGTERM while it loads them
    And it has loaded them
    Then it ends with code 0, and has not started

    Examples:
      | role  |
      | entry |
      | side  |

  Scenario Outline: A signal when the event loop is closed: <role>, <signal>
    Guards against a process that ends by a signal although it has already
    stopped in order.

    Given a process of role <role> that takes long to exit
    When it has stopped and gets <signal> before it exits
    Then it ends with code 0

    Examples:
      | role  | signal  |
      | entry | SIGTERM |
      | side  | SIGTERM |
      | side  | SIGHUP  |

  Scenario Outline: A port is taken when a process starts: <role>, <port>
    Something else holds it for a moment. Guards against a process that ends
    because it can't listen yet.

    Given a process of role <role> whose port for <port> is taken
    When it is started
    Then it waits for its port for <port>
    When the port is free
    Then it listens on its port for <port>

    Examples:
      | role  | port    |
      | entry | callers |
      | entry | ready   |
      | entry | metrics |
      | side  | entries |
      | side  | metrics |

  Scenario: An entry without its port for callers is not ready, and stops
    Given a process of role entry whose port for callers is taken
    When it is started
    Then it waits for its port for callers
    And its health check fails
    When it gets SIGTERM
    Then it ends with code 0

  Scenario: An entry starts while its predecessor drains
    Guards against a successor that ends because its ports are still in use.

    Given a process of role entry that drains
    When its successor is started
    Then the successor serves when the predecessor has ended

  Scenario Outline: The settings file is <state> when a process starts
    Guards against a process that ends because its settings are being written.

    Given a process whose settings file is <state>
    When it is started
    Then it waits for its settings
    When the settings file is written
    Then it runs

    Examples:
      | state  |
      | torn   |
      | absent |

  Scenario: A process that waits for its settings is stopped
    Given a process whose settings file is absent
    When it is started
    Then it waits for its settings
    When it gets SIGTERM
    Then it ends with code 0

  Scenario: The settings file is torn when a process is told to read it again
    Guards against changed settings that never take effect, since no second
    signal comes.

    Given a process of role entry that runs
    When its settings file is torn and it gets SIGHUP
    Then it keeps its settings
    When the settings file is written with another bound
    Then the changed settings take effect

  Scenario Outline: A process starts without <what>
    Guards against a process that ends at each start because of how it is
    started.

    Given a process of role <role> without <what>
    When it is started
    Then it listens on its port for metrics

    Examples:
      | role  | what                         |
      | entry | standard input and output    |
      | side  | any standard descriptor      |
      | entry | a path to the libraries      |

  Scenario Outline: The settings of an entry lack <what>
    Guards against an entry that ends because its settings are incomplete: the
    file may be in the middle of being written.

    Given a process whose settings lack <what>
    When it is started
    Then it waits for its settings
    When the settings file is written
    Then it runs

    Examples:
      | what                      |
      | the address for callers   |
      | the address for readiness |
      | a valid port for callers  |

  Scenario: An invalid settings file is told once
    Given a process of role entry that runs
    When its settings file is torn and it gets SIGHUP
    Then it keeps its settings
    And after 3 more tries it has told so once

  Scenario: A port that becomes free during a drain
    Guards against callers that connect to a process which ends a moment later,
    also where a successor waits for the port.

    Given a process of role entry whose port for callers is taken
    When it is started
    Then it waits for its port for callers
    When it gets SIGTERM and its drain refuses new requests
    And the port is free
    Then it ends with code 0, and has not opened the port
