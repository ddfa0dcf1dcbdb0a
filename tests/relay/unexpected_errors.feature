Feature: Requests that end by an unexpected error

  Scenario Outline: A request that was read gets an answer: <case>
    Guards against connections that are closed without an answer, and against
    "not run" where the request may have run.

    Given a relay in front of 1 plain server
    When an unexpected error occurs <moment> of the next report
    Then the caller gets status <status>, which says <promise>
    And the servers got <count> requests
    And the error is logged as a fault

    Examples:
      | case              | moment                  | status | promise       | count |
      | nothing is read   | within the head         | 503    | not run       | 0     |
      | nothing is sent   | before the send         | 503    | not run       | 0     |
      | it may have run   | after the failed answer | 500    | may have run  | 1     |

  Scenario: A complete response is followed by no other one
    Guards against the error's answer being read as the one to the next request.

    Given a relay in front of 1 plain server
    When an unexpected error occurs after the delivery to the next caller
    Then that caller gets the response, and one to its next request

  Scenario: A response that has begun is truncated
    Guards against a second status line within a stream, or an end of it that
    looks complete.

    Given a relay in front of 1 model server
    When an unexpected error occurs after the server has interrupted a stream
    Then the caller's response is truncated
    And the caller got one status line

  Scenario Outline: A request with token counts that can't be computed with gets an answer: <counts>
    Guards against connections that are closed without an answer, and against
    counts that spoil the sums on which other requests depend.

    Given a relay in front of 1 model server
    When a stream is requested whose prompt counts <counts>
    Then the caller gets status 400
    And the servers got 0 requests

    Examples:
      | counts                                 |
      | 400 digits and 1                       |
      | 1 and 400 digits                       |
      | 1 and -5, of which -1 are estimated    |
      | -5 and 1                               |
      | 1 and 250 digits, of which 1 estimated |

  Scenario: An entry without a free descriptor serves pipelined requests
    Guards against a caller who gets no answer because its next request waits
    unread, and looking at it takes a descriptor.

    Given a relay in front of 1 plain server
    And a caller that has fetched stays connected
    When the caller pipelines 2 more fetches, and no descriptor is free
    Then it gets 2 responses with status 200
