Feature: Control links between processes

  Scenario: Messages travel both ways in the order in which they were posted
    Given a side that accepts links
    And an entry that dials the side
    When both ends post 5 messages
    Then both ends receive the 5 messages in order

  Scenario: Nobody opens a link without the peer secret
    Given a side that accepts links
    When a stranger dials with another secret
    Then the stranger is refused with status 403
    And the side has seen no link

  Scenario: A hello that is not valid is refused
    Given a side that accepts links
    When a peer dials with the secret and a broken hello
    Then the stranger is refused with status 403

  Scenario: A link that was cut comes up again
    The connection breaks while both processes live. Each end hears once that
    the link is down, the dialer opens a new one, and the newest state can be
    sent again on it.
    Given a side that accepts links
    And an entry that dials the side
    When the side's connection is cut
    Then both ends hear that the link is down
    And both ends hear that a link is up
    And the entry's dialer stands at "up"
    When both ends post 2 messages
    Then both ends receive the 2 messages in order

  Scenario: A frozen peer is noticed, and welcomed when it thaws
    The side's process is stopped: its connections stay open, nothing is
    refused and nothing answered. Without a heartbeat the entry would wait for
    it for minutes. After the silence bound the entry hears that the link is
    down; when the process goes on, the dialer gets through again.
    Given a side in a process of its own
    And an entry that dials the side
    When the side's process is frozen
    Then the entry hears that the link is down
    And the entry's dialer stands at "down"
    When the side's process thaws
    Then the entry hears that a link is up
    And the entry's dialer stands at "up"

  Scenario: A peer that opens a link and never speaks is noticed
    An entry is cut off right after the hello and no reset arrives. The side
    must drop its bids instead of granting slots to nobody.
    Given a side that accepts links
    When a peer opens a link and stays silent
    Then the side hears that the link is down

  Scenario: A full outbox closes the link
    The peer reads too slowly for what is posted. Queueing without bound would
    eat the memory and deliver old state late, so the link is closed, and the
    next one starts with the newest state.
    Given a side that accepts links
    And an entry that dials the side
    When the side posts 100 messages in one turn
    Then both ends hear that the link is down
    And both ends hear that a link is up

  Scenario Outline: A frame that is no message closes the link
    Given a side that accepts links
    When a peer opens a link and sends <frame>
    Then the side hears that the link is down
    And the side has received no message

    Examples:
      | frame                |
      | no JSON              |
      | an unknown tag       |
      | a wrong type         |
      | an oversized message |
