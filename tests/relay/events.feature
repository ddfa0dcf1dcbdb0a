Feature: Events of a stream

  Scenario: Any stream that is cut and continued comes whole
    Guards against a place to continue that depends on the text of events, on
    the order of their fields, or on where the bytes are split.

    Then any stream, split anywhere and cut anywhere, is continued without a missing or repeated byte

  Scenario: A server that begins anew instead of continuing
    Guards against events without a number that callers get twice.

    Given a stream of the events 1, 2, note, 3
    When it breaks after event 3, and the next server sends 1, note, 2, note, 3, note, 4
    Then the caller has 1, 2, note, 3, note, 4

  Scenario Outline: Whether a stream can continue after <events>
    Guards against second runs that repeat an event without a number.

    Given a stream of the events <events>
    Then it <can> continue after event <last>

    Examples:
      | events          | can    | last |
      | 1, 2            | can    | 2    |
      | 1, 2, comment   | can    | 2    |
      | 1, comment, 2   | can    | 2    |
      | 1, note, 2      | can    | 2    |
      | 1, 2, note      | cannot | 2    |
      | 1, 2, bad id    | cannot | 2    |
      | note            | cannot | None |
