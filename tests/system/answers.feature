Feature: every caller gets its own complete response or a clear error

  Scenario: concurrent callers each get their own words
    Callers with distinct markers use both entries over keep-alive connections.
    Responses have 1 to 40 tokens, so they end out of order and are interleaved
    on the reused connections between entries, sides and servers; some callers
    disconnect midway. No caller may receive another caller's words.
    Given a fleet with 2 engines and 1 service
    When 200 callers send requests concurrently and 20 more disconnect midway
    Then each of them receives exactly its own words
    And no slot is lost, and a small workspace is served during a flood

  Scenario Outline: a stream that the engine interrupts never looks complete
    The engine sends some tokens and closes the connection before its own final
    event. The caller has already received the status: it gets an error event,
    no [DONE], and a broken connection, so that no client takes the stream for
    complete.
    Given a fleet with 2 engines and 0 services
    When every engine interrupts its streams after <tokens> of 6 tokens
    Then streams through both entries are truncated, with an error event
    When the engines work again
    Then no slot is lost, and a small workspace is served during a flood

    Examples:
      | tokens |
      | 0      |
      | 3      |
      | 6      |

  Scenario: an interrupted plain response is never taken for complete
    The service announces a length and closes the connection before it. A short
    response was still buffered: the caller gets a clear error. A long one has
    begun: the caller's connection breaks. A POST is not tried again.
    Given a fleet with 0 engines and 1 service
    When the service interrupts its responses midway
    Then a POST with a short response gets the error server_failed and ran once
    And a POST with a long response is interrupted and ran once
    When the service works again
    Then no slot is lost, and a small workspace is served during a flood

  Scenario Outline: servers that answer twice
    Each server sends each response a second time, at once or when the next
    request on the connection may be under way. A caller may get an error that
    says that the outcome is unknown, but never another caller's response.
    Given a fleet with 1 engine and 1 service
    When every server sends each response again after <seconds> seconds
    And 60 callers send requests concurrently
    Then each of them receives exactly its own words or an error
    And at least 20 of them receive their own words
    When every server responds once again
    Then no slot is lost, and a small workspace is served during a flood

    Examples:
      | seconds |
      | 0       |
      | 0.05    |

  Scenario: a call that may run twice is tried again at another server
    One engine and one service close each connection midway. Short responses
    are buffered until they are complete: the callers of plain completions and
    of a repeatable GET see only the response of the other server.
    Given a fleet with 2 engines and 2 services
    When one engine and one service interrupt their responses midway
    Then plain completions and GETs through both entries are complete

  Scenario: an entry crashes in the middle of its streams
    The callers see broken streams. The sides notice the closed connections,
    cancel the requests at the engines and free the slots for the other entry.
    Given a fleet with 2 engines and 0 services
    When 6 long streams run through entry-a and it is killed
    Then those streams are interrupted and have no final event
    And the engines have cancelled the running requests
    And no slot is lost, and a small workspace is served during a flood

  Scenario: a side crashes in the middle of its streams
    The entries notice the broken connections and send each caller an error
    event. The engine notices that its connections are closed and stops.
    Given a fleet with 2 engines and 0 services
    When 6 long streams run through both entries and a side is killed
    Then the streams of that side are truncated with an error event, the others complete
    And the engine has cancelled the requests of that side
    And no slot is lost, and a small workspace is served during a flood
