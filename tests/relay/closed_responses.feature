Feature: Responses that end with their connection

  A response without a length and not in chunks ends where its server closes the
  connection. A server also closes it where a run is stopped for a move, and the
  system does so for a process that ends.

  Scenario Outline: The last copy of a move stops the run of such a stream: <stop>
    Guards against a stream that is completed for its caller before its last
    event, because the close of the stopped run is taken for its end.

    Given a relay in front of 2 engines whose streams move
    And their responses state no length
    When the source's replies are ok and <stop>, and <again> if asked again
    And a caller requests a <route> whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as <outcome>, with 0 copies freed
    And no event of a once-stream was made twice
    And nothing of the move is held any more

    Examples: The reply arrives
      | route       | stop | again | response | outcome  |
      | once-stream | ok   | ok    | complete | moved    |
      | stream      | ok   | ok    | complete | moved    |
      | once-stream | kept | ok    | complete | returned |

    Examples: The reply is lost
      | route       | stop           | again  | response  | outcome |
      | once-stream | stopped_cut    | ok     | complete  | moved   |
      | stream      | stopped_cut    | ok     | complete  | moved   |
      | once-stream | stopped_silent | ok     | complete  | moved   |
      | once-stream | stopped_cut    | gone   | truncated | broken  |
      | stream      | stopped_cut    | gone   | complete  | broken  |
      | once-stream | stopped_silent | silent | truncated | broken  |

  Scenario Outline: Such a stream ends by itself: <case>
    Guards against a sound stream that is truncated, or run twice, because its
    end can't be read from its bytes.

    Given a relay in front of 2 engines whose streams move
    And their responses state no length
    When the source's replies are <copy> and <stop>
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as <outcome>, with <freed> copies freed
    And the destination got 0 requests

    Examples:
      | case                           | copy | stop | outcome    | freed |
      | during the first copy          | gone | ok   | ended      | 0     |
      | during the last copy           | ok   | gone | ended      | 1     |
      | after a move that was given up | full | ok   | not_copied | 0     |

  Scenario Outline: A server ends in the middle of such a <name>
    Guards against a part that its caller gets as the complete response: the
    connections of a process that has ended are closed, not reset.

    Given a relay in front of 2 <pool> servers
    When one of its servers ends in the middle of its next response
    And a caller reads the response to a <name> as it comes
    Then what the caller has got is <result>

    Examples:
      | name        | pool  | result                      |
      | stream      | model | all events once and the end |
      | once-stream | model | a truncated stream          |
      | fetch       | plain | the whole response          |
      | report      | plain | status 502                  |

  Scenario: A server ends in such a stream and another start has its address
    Guards against a check that is answered by the next start of the server.

    Given a relay in front of 2 model servers
    When one of its servers restarts in the middle of its next response
    And a caller reads the response to a once-stream as it comes
    Then what the caller has got is a truncated stream

  Scenario Outline: A sound server sends such a <name>, and is silent then for <seconds> s
    Guards against events that wait for what only the end of a stream needs, and
    against a sound response that is rejected by a check that is too short.

    Given a relay in front of 1 <pool> server
    And the servers state no length, and report after <seconds> s
    When a caller reads the response to a <name> as it comes
    Then what the caller has got is <result>
    And the servers got 1 request
    And its last event came before that report

    Examples:
      | name        | pool  | seconds | result                      |
      | stream      | model | 0       | all events once and the end |
      | once-stream | model | 0       | all events once and the end |
      | once-stream | model | 0.8     | all events once and the end |
      | report      | plain | 0       | the whole response          |

  Scenario Outline: A server that leaves cuts such a <name>
    Guards against a part that is taken for the complete stream because the
    server which has cut it still responds.

    Given a relay in front of 2 model servers
    When one of its servers, which leaves now, cuts its next response
    And a caller reads the response to a <name> as it comes
    Then what the caller has got is <result>

    Examples:
      | name        | result                      |
      | stream      | all events once and the end |
      | once-stream | a truncated stream          |

  Scenario: A server that reports more events than have arrived has cut a stream
    Guards against a part that is taken for the complete stream although the
    server's own report says that there is more.

    Given a relay in front of 2 model servers
    When one of its servers reports more events than its next response has
    And a caller reads the response to a once-stream as it comes
    Then what the caller has got is a truncated stream

  Scenario Outline: Another server, which <tells> its id, has the address before the end is checked
    Guards against a check that is answered by a new server at the address: an
    entry that was suspended reads the close late.

    Given a relay in front of 2 <pool> servers
    When one of its servers is another one, which <tells> its id, in the middle of its next response
    And a caller reads the response to a <name> as it comes
    Then what the caller has got is <result>

    Examples:
      | tells | name        | pool  | result             |
      | lists | once-stream | model | a truncated stream |
      | tells | once-stream | model | a truncated stream |
      | tells | report      | plain | status 502         |

  Scenario: Such a stream ends by itself while the list lags behind a restart
    Guards against sound streams that are all cut, because the start that has
    sent them is compared with the one that is listed.

    Given a relay in front of 1 model server
    And their responses state no length
    And the list lags behind a restart of each
    And their streams pause for 0.1 s
    When a caller reads the response to a once-stream as it comes
    Then what the caller has got is all events once and the end
    When their streams pause no more
    And a caller reads the response to a once-stream as it comes
    Then what the caller has got is all events once and the end

  Scenario: Many such streams end at the same time
    Guards against requests that are refused because ended streams hold their
    permits while their ends are checked.

    Given a relay in front of 1 model server
    And the servers state no length, and report after 0.3 s
    When 60 callers request streams at the same time
    Then each of them has all events once and the end

  Scenario Outline: Such a stream ends by itself at a server that leaves in <reported>
    Guards against a sound stream that is cut because its server leaves later,
    serves on for longer than it says, or says when in a form that can't be read.

    Given a relay in front of 1 model server
    And their responses state no length
    And the servers report that they leave in <reported>
    When a caller reads the response to a once-stream as it comes
    Then what the caller has got is all events once and the end

    Examples:
      | reported |
      | 2000     |
      | 0        |
      | 300      |
      | null     |
      | true     |
      | "soon"   |
      | 400 digits |

  Scenario: No other server takes over a response whose end is checked
    Guards against a second run of a complete stream, by the relief of servers
    that are silent.

    Given a relay in front of 2 model servers
    And the servers state no length, and report after 1.6 s
    When a caller reads the response to a stream as it comes
    Then what the caller has got is all events once and the end
    And the servers got 1 request
