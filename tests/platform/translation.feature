Feature: Translation of the platform's formats

  Scenario: The operator's configuration
    Given the operator's example configuration
    Then its routes, pools, workspaces and limits are translated

  Scenario Outline: Whether requests need a key, by the tenants
    Guards against tenants without any key that are taken for no tenants.

    Given the operator's example configuration
    When its tenants become <tenants>
    Then requests <need> a key

    Examples:
      | tenants                            | need       |
      | [{"name": "hule", "apiKeys": []}]  | need       |
      | [{"name": "hule"}]                 | need       |
      | []                                 | need       |
      | nothing                            | don't need |

  Scenario: The longest matching prefix of a host is chosen
    Given the operator's example configuration
    Then a path under two prefixes matches the longer one
    And a path under no prefix has no route

  Scenario Outline: A configuration that can't be translated is reported in one line
    Given the operator's example configuration
    When its <field> becomes <content>
    Then it is refused, and the message names <named>

    Examples:
      | field      | content  | named     |
      | version    | "x"      | version   |
      | routes     | 7        | routes    |
      | route type | "sluggy" | type      |

  Scenario Outline: A configuration that can't be translated leaves the last one active: <case>
    Given a fleet with active version 7
    When a configuration arrives that can't be translated, because <case>
    Then version 7 is active and a log line explains why the other is not

    Examples:
      | case                              |
      | it has no routes                  |
      | it holds half of a surrogate pair |
      | it is nested 1200 deep            |
      | it is not UTF-8                   |

  Scenario: An older version is never activated again
    Given a fleet with active version 7
    When version 5 arrives late
    Then version 7 is active

  Scenario: A settings file
    Given the platform's example settings
    Then the instance has its addresses, limits and store

  Scenario Outline: An invalid settings file
    Given the platform's example settings
    When their <line> becomes <other>
    Then they are refused, and the message names <named>

    Examples:
      | line                          | other                   | named       |
      | zone = "galata"               | zone = 7                | zone        |
      | address = "10.200.1.7:8781"   | address = "nowhere"     | nowhere     |
      | nodeName = "edge-galata-1"    | other = 1               | nodeName    |
      | nodeName = "edge-galata-1"    | nodeName = [            | Invalid     |
      | bootstrap = true              | app = 9000              | app         |
      | bootstrap = true              | app = "9000"            | app: '9000' |
      | bootstrap = true              | app = "localhost:9000"  | app:        |
      | bootstrap = true              | app = "127.0.0.1:0"     | app:        |
      | bootstrap = true              | app = "127.0.0.1:70000" | app:        |

  Scenario: The address of the engine on the side's own machine
    Given the platform's example settings
    Then the instance has no engine
    When their bootstrap = true becomes app = "127.0.0.1:9000"
    Then the instance has the engine 127.0.0.1:9000

  Scenario: Changed settings take effect without a restart
    Given a fleet with active version 7
    When its settings file says that a revocation takes effect after 3 seconds
    Then keys are accepted for less than 3 seconds, and a log line names revoke_seconds

  Scenario: Invalid settings leave the last valid ones in effect
    Given a fleet with active version 7
    When its settings file is invalid
    Then the settings are unchanged and a log line explains why

  Scenario: The head of a request
    Given a request as a client of the platform sends it
    Then its prompt, key, maximum wait and last event are parsed
    And the server receives the remaining wait, its name and the workspace
    And neither the key nor a hop-by-hop header is forwarded

  Scenario: A head with a very long id and very many parts of a prompt
    Guards against lines to a side that are longer than the side reads: it would
    close the connection, and with it the permits of all requests.

    Given a request with an id of 60000 characters and 16000 parts of 2 tokens
    Then its id is 128 characters long at most, and it has 64 parts
    And its parts have 32000 tokens together
    And the caller's response bears the whole id

  Scenario Outline: The last event that a caller has is no number: <content>
    Guards against a run from the start whose events the caller has already.

    Then a request whose last-event-id is <content> is refused

    Examples:
      | content |
      | 12a     |
      | -1      |
      | 1_0     |

  Scenario: Only some responses prove that the request has not run
    Then these responses prove that nothing has run: 421, 503 with the header
    And these do not: 500, 503, 504

  Scenario: A run that continues from a copy
    Given a request as a client of the platform sends it
    Then a run that continues from a copy names its source

  Scenario Outline: Calls that move a run
    Guards against a handle that is no handle: sent in a header, it could add
    other headers to a request.

    Given the calls that move an engine's run to another engine
    Then they name the run, the address of the destination and the copy
    And a response with <status> and <body> means <result> with <handle>

    Examples:
      | status | body                          | result  | handle    |
      | 200    | {"kvHandle":"h.7","created":4} | copied | h.7       |
      | 200    | {"created":4}                 | failed  | no handle |
      | 200    | {"kvHandle":"a\\r\\nb: c"}    | failed  | no handle |
      | 200    | {"kvHandle":7}                | failed  | no handle |
      | 200    | nothing                       | failed  | no handle |
      | 404    | {}                            | no_run  | no handle |
      | 409    | {}                            | busy    | no handle |
      | 421    | {}                            | failed  | no handle |
      | 503    | {"kvHandle":"h.7"}            | no_room | h.7       |
      | 503    | {}                            | failed  | no handle |

  Scenario Outline: The rest that a server asks for
    Given a response with status <status> and Retry-After <content>
    Then the server asks for <rest> of rest

    Examples:
      | status | content                       | rest        |
      | 503    | 3                             | 3 seconds   |
      | 503    | 0.25                          | 0.25 seconds |
      | 429    | 2                             | 2 seconds   |
      | 503    | 0                             | 0 seconds   |
      | 503    | -1                            | no seconds  |
      | 503    | nan                           | no seconds  |
      | 503    | inf                           | no seconds  |
      | 503    | 1e999                         | no seconds  |
      | 503    | soon                          | no seconds  |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | no seconds  |
      | 500    | 3                             | no seconds  |
      | 200    | 3                             | no seconds  |

  Scenario: A refusal without a time asks for no rest
    Given a response with status 503
    Then the server asks for no seconds of rest

  Scenario Outline: Servers that leave say so in a header
    Given a response with status <status> and Server-Leaving <content>
    Then the server <leaves>, and its caller gets no such header

    Examples:
      | status | content | leaves         |
      | 200    | 1       | leaves         |
      | 503    | 1       | leaves         |
      | 200    | 0       | does not leave |
      | 421    | 1       | does not leave |

  Scenario Outline: The slowness of a server is the fourth figure of its load
    Servers of an earlier version send three. A figure that can't be used must
    not end the request, nor weigh in its cost.

    Given a response with status 200 and X-Sardinetrack-Server-Load <content>
    Then the server is slow by a factor of <factor>

    Examples:
      | content       | factor |
      | 3,0,16,250    | 2.5    |
      | 3,0,16, 100   | 1      |
      | 3,0,16,80     | 0.8    |
      | 3,0,16,250,7  | 2.5    |
      | 3,0,16        | 1      |
      | 3,0,16,       | 1      |
      | 3,0,16,slow   | 1      |
      | 3,0,16,0      | 1      |
      | 3,0,16,-250   | 1      |
      | 3,0,16,nan    | 1      |
      | 3,0,16,1e999  | 1      |

  Scenario: A response without that header
    Given a response with status 200
    Then the server does not leave, and its caller gets no such header
