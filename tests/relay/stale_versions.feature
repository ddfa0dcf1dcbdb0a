Feature: An entry that is out of step takes up a stream

  Scenario Outline: An entry does not trust its own list alone: its side <does>
    Guards against a stream that goes on at an engine of another version,
    because the entry was cut off or stood still while engines of a new
    version joined.

    Given an entry that has listed one version, and a side that <does>
    When a caller continues a stream of another entry there
    Then the stream <outcome>

    Examples:
      | does                             | outcome                    |
      | knows another version began it   | continues at v2            |
      | has heard of another version     | is refused as unknown      |
      | does not answer                  | is refused as unknown      |
      | has heard of no other version    | continues at v1            |
      | disconnects, and the list is new | continues at v1            |
      | disconnects, and the list is old | is refused as unknown      |
