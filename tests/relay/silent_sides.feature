Feature: Sides that fall silent, and servers that are missing from the list

  The engine goes on with its streams, whatever its side or the list of servers
  says meanwhile.

  Scenario Outline: Streams that run, wait or are new outlast it: <what>
    Guards against streams of a sound engine that are truncated, lost or run
    twice because its side falls silent for a moment.

    Given 2 entries, and an engine with a side that admits 2 streams at a time
    When 2 streams run at the engine and 2 wait for it, and <what>
    And a new stream is requested meanwhile
    Then each caller has its whole stream, and the engine ran each once
    And no crash is suspected, and no permit is held

    Examples:
      | what                         |
      | its side is silent for 0.9 s |
      | its side is silent for 1.7 s |
      | its side is silent for 2.5 s |
      | the links to its side break  |

  Scenario Outline: Streams that run outlast it: <what>
    Guards against streams that are truncated or run twice because the record of
    their engine is missing for a moment. Nothing else can be sent there then.

    Given 2 entries, and an engine with a side that admits 2 streams at a time
    When 2 streams run at the engine and 2 wait for it, and <what>
    And a new stream is requested meanwhile
    Then each caller has its whole stream, or is told when to retry
    And the streams that ran are whole
    And no crash is suspected, and no permit is held

    Examples:
      | what                                      |
      | its record is missing for 0.6 s           |
      | its record is missing and the links break |
