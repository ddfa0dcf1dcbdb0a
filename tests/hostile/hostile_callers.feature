Feature: Callers that do not behave

  Scenario Outline: A crowd sends <form>
    Each of the requests is allowed by the limits on callers. The crowd reads
    nothing and leaves the last request of each connection incomplete. Guards
    against an entry that exceeds its memory or stops responding to others.

    Given an entry of 110 MB for heads of 64 KiB and bodies of 1 MiB
    When <count> connections send <form> and stay open
    Then an ordinary caller is served
    And 40 MB at most wait unread in its sockets
    When they disconnect
    Then an ordinary caller is served
    And the entry still runs
    And it has never used more than 110 MB
    And it has 512 descriptors at most

    Examples:
      | count | form                                  |
      | 160   | empty header lines                    |
      | 160   | header lines of different names       |
      | 160   | header lines beyond ASCII             |
      | 160   | one header line again and again       |
      | 160   | cookies                               |
      | 160   | names of connection headers           |
      | 160   | forwarded addresses                   |
      | 160   | last events                           |
      | 160   | parts of a prompt                     |
      | 160   | long ids                              |
      | 160   | folded header lines                   |
      | 160   | whole bodies                          |
      | 160   | bodies in chunks                      |
      | 160   | bodies in chunks of one byte          |
      | 160   | heads of empty lines sent ahead       |
      | 160   | bodies sent ahead                     |
      | 160   | bodies of 48 KB sent ahead            |
      | 160   | small requests sent ahead             |
      | 160   | requests for large answers sent ahead |
      | 160   | requests for errors sent ahead        |

  Scenario Outline: A single request of <form> is served in calm
    Guards against a limit that refuses what the limits on callers allow.

    Given an entry of 110 MB for heads of 64 KiB and bodies of 1 MiB
    When a caller sends one complete request of <form>
    Then it is served

    Examples:
      | form                            |
      | empty header lines              |
      | header lines of different names |
      | parts of a prompt               |
      | long ids                        |
      | bodies in chunks of one byte    |
