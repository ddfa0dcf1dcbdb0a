Feature: Entries of servers that another writer has touched

  Any process may write to the store. An entry in which something is missing,
  or is not what it should be, names no server; the others hold.

  Scenario Outline: An entry names no server
    Given a fleet that lists 2 good servers
    When the entry of the first has <field> as <content>
    Then only the second server takes work
    And one line names the entry, and one refused entry is counted

    Examples:
      | field        | content            |
      | slots        | "6"                |
      | slots        | null               |
      | slots        | 6.5                |
      | slots        | -1                 |
      | slots        | 0                  |
      | slots        | 1e300              |
      | slots        | nothing            |
      | service      | nothing            |
      | service      | 7                  |
      | service      | ""                 |
      | zone         | nothing            |
      | zone         | ["a"]              |
      | state        | "resting"          |
      | state        | nothing            |
      | state        | true               |
      | address      | nothing            |
      | address      | "10.0.0.1"         |
      | address      | "10.0.0.1:http"    |
      | address      | "10.0.0.1:70000"   |
      | address      | "10.0.0.1:-1"      |
      | address      | "10.0.0.1:1\r\n"   |
      | address      | "10.0.0.300:80"    |
      | address      | "engine.local:80"  |
      | sequence     | "four"             |
      | version      | 3                  |
      | warmupLeftMs | "soon"             |
      | born         | "yesterday"        |
      | born         | null               |
      | born         | 1.5                |

  Scenario: An entry that can't be read at all
    Given a fleet that lists 2 good servers
    When the entry of the first is no JSON
    Then only the second server takes work

  Scenario: An entry that turns good again names its server again
    Given a fleet that lists 2 good servers
    When the entry of the first has slots as "6"
    And the entry of the first is good again
    Then both servers take work

  Scenario: The same bad entry is told once, however often it is listed
    Given a fleet that lists 2 good servers
    When the entry of the first has slots as "6"
    And everything is listed 5 times
    Then one line names the entry, and one refused entry is counted

  Scenario: An id that would add a header is no id
    Given a fleet that lists 2 good servers
    When a good entry lies under an id with a line break
    Then both servers take work

  Scenario: A bad entry comes in a listing with good ones
    The store answers with a page in which one object has no revision, one
    has no metadata, and the text of one is not UTF-8.

    Given a store with 3 servers
    When objects of another writer lie between them
    Then the client lists the 3 servers, and those of the others that have names

  Scenario: A bad entry comes as a change
    Given a store with 3 servers
    When an object without a revision is written while the client watches
    Then the watch tells 1 change within 1 seconds

  Scenario: Entries at random
    Given a fleet that lists 2 good servers
    When hypothesis writes 300 entries in the place of the first
    Then each named a server only with every field as it should be
    And the second server took work all the while
