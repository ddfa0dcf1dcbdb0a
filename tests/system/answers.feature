Feature: every caller gets its own whole answer, or a clear error

  Scenario: many callers at once each get their own words
    Callers with distinct markers use both entries over kept connections.
    Answers take from 1 to 40 tokens, so they end out of order and lie
    interleaved on the reused connections between entries, sides and servers;
    some callers leave in the middle. Nobody may see another's words.
    Given a failing fleet with 2 engines and 1 service
    When 200 callers ask at once and 20 more leave in the middle
    Then each of them has exactly its own words
    And no slot is lost, and a small workspace is served beside a flood

  Scenario Outline: a stream that the engine cuts never looks complete
    The engine sends some tokens and drops the connection before its own
    terminal. The caller's status has gone out: it gets an error event, no
    [DONE], and a broken connection, so that no client takes it for whole.
    Given a failing fleet with 2 engines and 0 services
    When every engine cuts its streams after <tokens> of 6 tokens
    Then streams through both entries end as cut, with an error event
    When the engines work again
    Then no slot is lost, and a small workspace is served beside a flood

    Examples:
      | tokens |
      | 0      |
      | 3      |
      | 6      |

  Scenario: a plain answer cut half-way is never taken for whole
    The service announces a length and drops the connection before it. A
    short answer was held back: the caller gets a clear error. A long one has
    begun: its connection breaks. A POST is not tried again.
    Given a failing fleet with 0 engines and 1 service
    When the service cuts its answers half-way
    Then a short POST answer is told as server_failed and ran once
    And a long POST answer breaks off and ran once
    When the service works again
    Then no slot is lost, and a small workspace is served beside a flood

  Scenario: a call that may run twice is tried again at another server
    One engine and one service drop each connection half-way. Short answers
    are held back until they are whole: the callers of plain completions as
    of a repeatable GET see only the answer of the other server.
    Given a failing fleet with 2 engines and 2 services
    When one engine and one service cut their answers half-way
    Then plain completions and GETs through both entries are whole

  Scenario: an entry dies in the middle of its streams
    The callers see broken streams. The sides notice the closed
    connections, cancel at the engines, and free the slots for the other entry.
    Given a failing fleet with 2 engines and 0 services
    When 6 long streams run through entry-a and it is killed
    Then those streams are broken and have no terminal
    And the engines have cancelled what ran
    And no slot is lost, and a small workspace is served beside a flood

  Scenario: a side dies in the middle of its streams
    The entries notice the broken connections and tell each caller by an error
    event. The engine notices its own and stops.
    Given a failing fleet with 2 engines and 0 services
    When 6 long streams run through both entries and a side is killed
    Then the streams of that side are cut with an error event, the others whole
    And the engine has cancelled what ran at that side
    And no slot is lost, and a small workspace is served beside a flood
