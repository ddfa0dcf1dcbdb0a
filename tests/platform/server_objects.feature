Feature: Server objects that another writer has changed

  Any process may write to the store. An object with a missing or invalid field
  defines no server; the other objects stay valid.

  Scenario Outline: An invalid object defines no server
    Given a fleet that lists 2 valid servers
    When the object of the first has <field> as <content>
    Then only the second server is available
    And one log line names the object, and one refused object is counted

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
      | born         | 10000000000000000  |
      | sequence     | 1e30               |
      | sequence     | 18446744073709551616 |
      | warmupLeftMs | 1e300              |

  Scenario: An object that can't be decoded at all
    Given a fleet that lists 2 valid servers
    When the object of the first is not JSON
    Then only the second server is available

  Scenario Outline: An object whose decoding fails in another way: <case>
    Guards against faults of a text that end the feed of all servers.

    Given a fleet that lists 2 valid servers
    When the object of the first has <case> in a field beside
    Then only the second server is available
    And one log line names the object, and one refused object is counted

    Examples:
      | case                     |
      | half of a surrogate pair |
      | 1200 nested lists        |

  Scenario: An object that becomes valid again defines its server again
    Given a fleet that lists 2 valid servers
    When the object of the first has slots as "6"
    And the object of the first is valid again
    Then both servers are available

  Scenario: An invalid object is logged once, however often it is listed
    Given a fleet that lists 2 valid servers
    When the object of the first has slots as "6"
    And everything is listed 5 times
    Then one log line names the object, and one refused object is counted

  Scenario: An id that would add a header is rejected
    Given a fleet that lists 2 valid servers
    When a valid object is stored under an id with a line break
    Then both servers are available

  Scenario: Undecodable objects are listed together with valid ones
    The store responds with a page in which one object has no valid revision,
    one has no metadata, and the text of one is not UTF-8.

    Given a store with 3 servers
    When objects of another writer are stored among them
    Then the client lists the 3 servers, and the other objects that have names

  Scenario: An undecodable object is received as a change
    Given a store with 3 servers
    When an object without a valid revision is written while the client watches
    Then the watch returns 1 change within 1 seconds

  Scenario: Random objects
    Given a fleet that lists 2 valid servers
    When hypothesis writes 300 objects in place of the first
    Then each defined a server only if every field was valid
    And the second server was available all the time

  Scenario: Records of a server that has announced its end change nothing
    Given a fleet that lists 2 valid servers
    When the first server announces its end
    And the object of the first is valid again
    And everything is listed 2 times
    Then only the second server is available
    And no line lists the first server again

  # Guards against a server that is dropped with all that is known of it, by a
  # removal that is older than its record.
  Scenario: A removal that is older than the record of a server changes nothing
    Given a fleet that lists 2 valid servers
    When a removal of the first arrives that is older than its record
    Then both servers are available

  # Guards against leavings of which no log says how they were learned.
  Scenario Outline: A leaving is logged with its source and how late it was learned
    Given a fleet that lists 2 valid servers
    When the list is confirmed, and 0.3 seconds later <change>
    Then one line reports the leaving of the first from the store, 0.3 seconds late
    And that line says that the first is <listed>

    Examples:
      | change                                 | listed     |
      | a change shows that the first leaves   | listed     |
      | a listing shows that the first leaves  | listed     |
      | the record of the first is removed     | not listed |
      | a listing lacks the first              | not listed |
