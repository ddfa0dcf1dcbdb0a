Feature: Reading requests

  Scenario Outline: Trailers of a request are no headers of the next: <arrival>
    Guards against headers that a caller did not send with a request, and
    against one that makes the next request invalid.

    Given a reader of requests
    When a request in chunks with trailers model and host is followed by another one <arrival>
    Then the other request has none of them, or is not read

    Examples:
      | arrival       |
      | in one piece  |
      | in two pieces |

  Scenario Outline: Memory is given back after <end>
    Guards against memory that stays held until the entry is restarted: it then
    refuses every large request.

    Given a reader of requests
    When a large request in chunks has <end>
    Then nothing is held, and no head is kept

    Examples:
      | end                       |
      | its end                   |
      | trailers beyond the limit |
      | an invalid chunk          |
      | no room for its head      |
      | no room for its body      |
      | its caller disconnect     |

  Scenario: Trailers take no memory
    Guards against trailers as long as a head, which nothing holds.

    Given a reader of requests
    When a request in chunks has 16000 trailer lines and does not end
    Then the reader keeps none of them
