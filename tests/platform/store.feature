Feature: The client of the platform's store

  Scenario: Every page of a list is read
    Given a store with 7 servers
    Then the client lists 7 objects

  # Guards against a leaving that is never learned, because it was accepted
  # after the page with the server and before the last page.
  Scenario Outline: A change between two pages of a list is watched: <change>
    Given a store with 7 servers
    When i-1 is <change> after the first page of a list was read
    Then a watch from that list returns the change of i-1

    Examples:
      | change  |
      | written |
      | removed |

  Scenario: A watch returns a change immediately
    Given a store with 1 server
    When a server is added while the client watches
    Then the watch returns 1 change within 0.5 seconds

  Scenario: An empty watch ends in time and returns the store's revision
    Given a store with 1 server
    When the client watches for 0.2 seconds and nothing changes
    Then the watch returns 0 changes within 0.5 seconds

  Scenario Outline: An object that can't be decoded costs only itself: <case>
    Guards against one object of another writer that hides all others of its
    kind, in the pages of a list as in the changes of a watch.

    Given a store with 7 servers
    When another writer stores <text> as i-4a while the client watches
    Then the watch returns 1 change within 0.5 seconds
    And the client lists 8 objects
    And each of them has the content that was stored
    When i-4a is removed while the client watches
    Then the watch returns 1 change within 0.5 seconds

    Examples:
      | case                      | text                                     |
      | half of a surrogate pair  | {"note": "hall B \ud83d"}                |
      | the other half            | {"note": ["\ude9a hall B"]}              |
      | half of a pair in a key   | {"\ud83d": {"slots": 7}}                 |
      | brackets in such a text   | {"note": "}] \" \\", "x": "\ud83d [{"}     |
      | 1200 nested lists         | nested 1200 deep                         |
      | 100000 nested lists       | nested 100000 deep                       |
      | a control character       | {"note": "a\x01"}                        |
      | a number that is none     | {"slots": NaN}                           |
      | an infinite number        | [-Infinity]                              |
      | bytes that are not UTF-8  | {"note": "\xff"}                         |
      | an empty list             | []                                       |

  Scenario: A watch whose history was discarded fails
    Given a store with 1 server
    When the history is discarded while the client watches
    Then the client reports that the watch is lost

  Scenario Outline: A rejected call has no effect
    Given a store with 1 server
    When the store has the fault <fault>
    Then a list fails because the store is <reason>

    Examples:
      | fault | reason      |
      | busy  | unavailable |
      | many  | throttled   |

  Scenario: A call to a silent store times out
    Given a store with 1 server
    When the store has the fault silent
    Then within 1.2 seconds a list fails because the store is unavailable

  Scenario: A write whose response is lost is uncertain
    The write takes effect, but its response never arrives. If it were treated
    as rejected, it would be repeated, or a lease that is held would be given up.

    Given a store with 1 server
    When responses to writes are lost
    Then a write is uncertain, and its value is in the store

  Scenario: Of two writers of one revision, one fails and gets the current object
    Given a store with 1 server
    When two writers replace the same revision
    Then one of them receives the current version
