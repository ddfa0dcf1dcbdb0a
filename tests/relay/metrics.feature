Feature: The metrics of an entry

  Scenario: The page reports how requests ended, by names with units
    Given a relay in front of 1 model server and 1 plain server
    When 3 callers fetch concurrently
    And a caller requests a resumable stream
    Then the page counts 4 requests served
    And the page has the times to the first event in seconds
    And the page counts the unreadable objects of the store
    And no key stands on the page or in the log

  Scenario: Requests for the page that are sent ahead are not served
    Guards against one connection that occupies the process for minutes, and
    fills its memory with pages that nobody reads.

    When 10000 requests for a page arrive in one piece
    Then the page is rendered once and the connection closes
