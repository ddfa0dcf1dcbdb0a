Feature: Which side watches the store

  Scenario: A large fleet has a watcher in each failure domain
    Given sides in galata, asparuhovo and kamchia, and 26 entries
    Then each entry of a domain prefers the same side of that domain

  Scenario: A small fleet has one watcher
    Given sides in galata, asparuhovo and kamchia, and 5 entries
    Then all entries prefer the same side

  Scenario: Entries of a domain without a side subscribe elsewhere
    Given sides in galata, galata and kamchia, and 26 entries
    Then an entry in asparuhovo prefers some side
