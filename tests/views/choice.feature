Feature: Which side watches the store

  Scenario: A large fleet has a watcher in each failure domain
    Given sides in galata, asparuhovo and kamchia, and 26 entries
    Then each entry of a domain asks the same side of that domain first

  Scenario: A small fleet has one watcher
    Given sides in galata, asparuhovo and kamchia, and 5 entries
    Then all entries ask the same side first

  Scenario: A domain without a side asks elsewhere
    Given sides in galata, galata and kamchia, and 26 entries
    Then an entry in asparuhovo asks some side
