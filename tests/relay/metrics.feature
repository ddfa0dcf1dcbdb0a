Feature: The numbers of an entry

  Scenario: The page tells how requests ended, by names with units
    Given a relay before 1 model server and 1 plain server
    When 3 callers fetch at once
    And a caller asks for a resumable stream
    Then the page counts 4 requests served
    And the page has the times to the first event in seconds
    And the page counts the unreadable objects of the store
    And no key stands on the page or in the log
