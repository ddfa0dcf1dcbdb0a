Feature: Streams move to another engine

  A leaving engine serves for 3 s and cuts what still runs, and long prompts at
  an engine make its streams pause. Where the pool's engines can copy the KV
  cache of a run, its stream goes on elsewhere.

  Scenario Outline: The caller gets every event once, and no engine runs it twice
    Guards against a piece that is lost or repeated when the stream changes its
    engine, and against a second run of a request that may run only once.

    Given a relay in front of 2 engines whose streams move
    When a caller requests a <route> whose engine <leaves>
    Then the caller's stream is complete
    And the move ends as moved, with 0 copies freed
    And no event of a once-stream was made twice
    And the destination got the request with the copy and the last event
    And the source counts neither as failed nor as crashed
    And nothing of the move is held any more

    Examples:
      | route       | leaves                          |
      | once-stream | is listed as leaving            |
      | once-stream | says in the response it leaves  |
      | stream      | is listed as leaving            |
      | once-stream | causes long pauses              |

  Scenario Outline: A stream moves after its last event: <case>
    Guards against moved streams that continue where the text of an event says,
    not its id.

    Given a relay in front of 2 engines whose streams move
    And their events have the form "<event>"
    When a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as moved, with 0 copies freed
    And the destination got the request with the copy and the last event

    Examples:
      | case              | event                                                       |
      | text with an id   | id: {number}\ndata: token {number}\ndata: floe id: 12\n\n |
      | text like an id   | id: {number}\ndata: token {number}\ndata: grid: 43 N\n\n  |
      | CR LF             | id: {number}\r\ndata: token {number}\r\n\r\n            |

  Scenario: A stream whose events have no number does not move
    Guards against a destination that is not told where to continue.

    Given a relay in front of 2 engines whose streams move
    And their events have the form "data: token {number}\n\n"
    When a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And no engine was asked for a copy, and no move is reported

  Scenario Outline: The last event of a stopped run has no number
    Guards against a destination that repeats that event.

    Given a relay in front of 2 engines whose streams move
    And their last event before a stop has no number
    When the source's replies are ok and <stop>, and ok if asked again
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is truncated
    And the move ends as broken, with 0 copies freed
    And nothing of the move is held any more

    Examples:
      | stop        |
      | ok          |
      | stopped_cut |

  Scenario Outline: A stream stays where <why>
    Guards against copies that help no caller.

    Given a relay in front of 2 engines whose streams move
    When a caller requests a once-stream whose engine causes long pauses, and <why>
    Then the caller's stream is complete
    And no engine was asked for a copy, and no move is reported

    Examples:
      | why                          |
      | the other one does too       |
      | its response is short        |
      | the load of no one is known  |

  Scenario Outline: A step of a move fails
    Guards against a stream that is lost, run twice or truncated without need.
    Also against permits and copies that outlive the move.

    Given a relay in front of 2 engines whose streams move
    When the source's replies are <copy> and <stop>
    And the destination's act is <act>, and the source's act after it is <back>
    And a caller requests a <route> whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as <outcome>, with <freed> copies freed
    And no event of a once-stream was made twice
    And nothing of the move is held any more

    Examples: The first copy
      | route       | copy    | stop | act    | back   | response | outcome    | freed |
      | once-stream | gone    | ok   | answer | answer | complete | ended      | 0     |
      | once-stream | busy    | ok   | answer | answer | complete | not_copied | 0     |
      | once-stream | full    | ok   | answer | answer | complete | not_copied | 0     |
      | once-stream | silent  | ok   | answer | answer | complete | not_copied | 0     |
      | once-stream | cut     | ok   | answer | answer | complete | not_copied | 0     |
      | once-stream | unnamed | ok   | answer | answer | complete | not_copied | 0     |
      | once-stream | crash   | ok   | answer | answer | truncated | broken    | 0     |

    Examples: The copy that stops the run
      | route       | copy | stop           | act    | back   | response  | outcome     | freed |
      | once-stream | ok   | gone           | answer | answer | complete  | ended       | 1     |
      | once-stream | ok   | kept           | answer | answer | complete  | returned    | 0     |
      | once-stream | ok   | kept           | answer | shed   | truncated | rejected    | 1     |
      | once-stream | ok   | silent         | answer | answer | complete  | not_stopped | 1     |
      | once-stream | ok   | stopped_silent | answer | answer | truncated | broken      | 0     |
      | once-stream | ok   | frozen         | answer | answer | truncated | broken      | 0     |
      | once-stream | ok   | crash          | answer | answer | truncated | broken      | 0     |
      | stream      | ok   | crash          | answer | answer | complete  | broken      | 0     |
      | stream      | ok   | frozen         | answer | answer | complete  | broken      | 0     |

    Examples: The request that continues
      | route       | copy | stop | act         | back   | response  | outcome  | freed |
      | once-stream | ok   | ok   | shed        | answer | complete  | returned | 0     |
      | once-stream | ok   | ok   | misdirect   | answer | complete  | returned | 0     |
      | once-stream | ok   | ok   | shed        | shed   | truncated | rejected | 1     |
      | stream      | ok   | ok   | shed        | shed   | complete  | rejected | 1     |
      | once-stream | ok   | ok   | fail        | answer | truncated | rejected | 1     |
      | once-stream | ok   | ok   | reset       | answer | truncated | rejected | 1     |
      | once-stream | ok   | ok   | answer_once | answer | truncated | moved    | 0     |
      | stream      | ok   | ok   | answer_once | answer | complete  | moved    | 0     |

  Scenario Outline: A stream returns to a source that <does>
    Guards against a stream that is cut though its engine, which has kept the
    memory of the run, only falls silent for a moment.

    Given a relay in front of 2 engines whose streams move
    And the start of each engine is known
    When the source's replies are ok and <stop>
    And the destination's act is shed_late, and the source's act after it is answer
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as <outcome>, with 0 copies freed
    And no event of a once-stream was made twice
    And nothing of the move is held any more

    Examples:
      | does         | stop      | response  | outcome  |
      | responds     | ok        | complete  | returned |
      | falls silent | ok_asleep | complete  | returned |
      | crashes      | ok_crash  | truncated | rejected |

  # Guards against a stream that returns to a leaving server later than any
  # request may arrive there.
  Scenario Outline: A stream returns to a leaving source only for a while
    Given a relay in front of 2 engines whose streams move
    And no request may arrive 0.25 seconds after a leaving
    When the source's replies are ok and kept
    And the destination's act is answer, and the source's act after it is answer
    And a caller requests a <route> whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as rejected, with 1 copies freed
    And no event of a once-stream was made twice
    And nothing of the move is held any more

    Examples:
      | route       | response  |
      | once-stream | truncated |
      | stream      | complete  |

  Scenario Outline: The reply to a stop is late or lost at a sound engine: <stop>, then <again>
    Guards against a stream that is cut though its engine goes on, or has stopped
    as it was asked to and kept the memory of the run.

    Given a relay in front of 2 engines whose streams move
    When the source's replies are ok and <stop>, and <again> if asked again
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as <outcome>, with <freed> copies freed
    And no event of a once-stream was made twice
    And nothing of the move is held any more

    Examples: The engine falls silent and goes on
      | stop   | again | response | outcome     | freed |
      | asleep | ok    | complete | not_stopped | 1     |

    Examples: It stops the run when it goes on
      | stop       | again     | response  | outcome  | freed |
      | late_stop  | ok        | complete  | moved    | 0     |
      | late_stop  | busy_once | complete  | moved    | 0     |
      | late_stop  | kept      | complete  | returned | 0     |
      | late_stop  | gone      | truncated | broken   | 0     |
      | later_stop | ok        | complete  | moved    | 0     |

    Examples: It stops the run, and its reply is lost
      | stop           | again | response | outcome | freed |
      | stopped_cut    | ok    | complete | moved   | 0     |
      | stopped_silent | ok    | complete | moved   | 0     |
      | stopped_asleep | ok    | complete | moved   | 0     |

  Scenario Outline: The destination or the right to use it is gone before the stop
    Guards against a run that is stopped though it can't continue elsewhere.

    Given a relay in front of 2 engines whose streams move
    When <change> once the first copy is asked for
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as not_copied, with 1 copies freed
    And the destination got 0 requests
    And nothing of the move is held any more

    Examples:
      | change                 |
      | the destination leaves |
      | the caller's key ends  |

  Scenario Outline: The destination or the right to use it is gone before the send
    Guards against a request that is sent to an engine that rests or leaves, or
    for a caller that is not allowed any more.

    Given a relay in front of 2 engines whose streams move
    When <change> once the run has stopped
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is <response>
    And the move ends as <outcome>, with <freed> copies freed
    And the destination got 0 requests
    And nothing of the move is held any more

    Examples:
      | change                | response  | outcome  | freed |
      | the destination rests | complete  | returned | 0     |
      | the destination leaves | complete | returned | 0     |
      | the destination stops | complete  | returned | 0     |
      | the caller's key ends | truncated | revoked  | 1     |
      | the caller's route ends | truncated | revoked | 1    |

  Scenario Outline: The caller leaves, or its deadline passes
    Guards against copies, permits and connections that outlive the request.

    Given a relay in front of 2 engines whose streams move
    When the source's replies are <copy> and <stop>
    And the destination's act is <act>, and the source's act after it is answer
    And the request of a caller ends by <cause> once <point>
    Then the move ends as <outcome>, with <freed> copies freed
    And nothing of the move is held any more

    Examples:
      | cause    | point                        | copy   | stop           | act    | outcome   | freed |
      | leaving  | the copy begins              | silent | ok             | answer | cancelled | 0     |
      | leaving  | the last copy is asked for   | ok     | stopped_silent | answer | cancelled | 1     |
      | leaving  | the destination is asked     | ok     | ok             | hang   | cancelled | 1     |
      | leaving  | the destination streams      | ok     | ok             | answer | moved     | 0     |
      | deadline | the destination is asked     | ok     | ok             | hang   | cancelled | 1     |

  Scenario: There is no destination
    Guards against a stream that is stopped with nowhere to go.

    Given a relay in front of 1 engine whose streams move
    When a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as no_destination, with 0 copies freed
    And nothing of the move is held any more

  Scenario: The destination grants no permit
    Guards against a destination that gets more than its side admits.

    Given a relay in front of 2 engines whose streams move, with 1 slot each
    When another stream holds the destination's slot
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as no_destination, with 0 copies freed
    And nothing of the move is held any more

  Scenario: The destination tries a part of the prompt that is suspected
    Guards against a response that is truncated by an unexpected error, though
    its engine goes on with it.

    Given a relay in front of 2 engines whose streams move
    When a caller requests a once-stream, a part of its prompt is suspected and on trial at the destination, and its engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as no_destination, with 0 copies freed
    And nothing of the move is held any more

  Scenario: A destination appears before the second try
    Given a relay in front of 2 engines whose streams move
    When a caller requests a once-stream, and another engine is ready a moment after its own leaves
    Then the caller's stream is complete
    And the move ends as moved, with 0 copies freed

  Scenario: The destination leaves as well
    Given a relay in front of 3 engines whose streams move
    When a caller requests a once-stream whose engines leave one after the other
    Then the caller's stream is complete
    And no event of a once-stream was made twice
    And 2 moves end as moved
    And nothing of the move is held any more

  Scenario: Late responses on connections that were used before
    Guards against a stream that continues from the copy of another request.

    Given a relay in front of 2 engines whose streams move
    When 3 streams have ended at an engine, which responds late once more
    And a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as moved, with 0 copies freed

  Scenario: The source's permit is free once the destination streams
    Guards against an engine that counts as full though its streams have moved.

    Given a relay in front of 2 engines whose streams move
    When a caller's once-stream has moved off its engine
    Then the source has 0 permits in use and the destination 1
    And nothing of the move is held any more

  Scenario: A slow caller reads the rest of the source's stream late
    Guards against a send before the source's last event was forwarded.

    Given a relay in front of 2 engines whose streams move
    When a caller that doesn't read for 0.6 s requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And the move ends as moved, with 0 copies freed

  Scenario: Few streams move at the same time
    Guards against copies that flood the links of a leaving engine.

    Given a relay in front of 2 engines whose streams move
    When 10 callers request streams whose engine is listed as leaving
    Then every response is complete
    And 4 copies were made at the same time at most
    And nothing of the move is held any more

  Scenario: Without moves nothing is called
    Guards against new calls on deployments that have not asked for them.

    Given a relay in front of 2 engines whose streams don't move
    When a caller requests a once-stream whose engine is listed as leaving
    Then the caller's stream is complete
    And no engine was asked for a copy, and no move is reported

  Scenario Outline: The destination of a stream
    Guards against copies between failure domains, which take twice as long.
    Also against one engine that gets all streams of another.

    Given a stream at an engine in domain a, and engines in <domains> with waits <waits>
    Then its destination is one of <chosen>

    Examples:
      | domains | waits           | chosen |
      | b a a   | 0 0.3 0.1       | 2      |
      | b c     | 0.2 0.1         | 1      |
      | a a a   | 0.001 0 0.002   | 0 1 2  |

  Scenario: When a stream moves
    Guards against moves of streams that end by themselves, or have not begun.

    Given an engine that is known to leave at 5.0 s
    Then its stream moves at 6.0 s, not before, and not without an event
    And it also moves if the engine's record is removed

  Scenario Outline: A stream moves whose prompt has a part that is <status> meanwhile
    Guards against a stream that is stopped for its move, and then goes on
    nowhere.

    Given a relay in front of 2 engines whose streams move
    When a caller requests a once-stream, a part of its prompt is <status> and not tried at the destination, and its engine is listed as leaving
    Then the caller's stream is complete
    And nothing of the move is held any more

    Examples:
      | status    |
      | suspected |
      | blocked   |
