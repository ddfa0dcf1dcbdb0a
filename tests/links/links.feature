Feature: Control links between processes

  Scenario: Messages travel both ways in the order in which they were posted
    Given a side that accepts links
    And an entry that dials the side
    When both ends post 5 messages
    Then both ends receive the 5 messages in order

  Scenario: A link without the peer secret is rejected
    Given a side that accepts links
    When a client dials with a wrong secret
    Then the client is rejected with status 403
    And the side has seen no link

  Scenario: An invalid hello is rejected
    Given a side that accepts links
    When a client dials with the secret and an invalid hello
    Then the client is rejected with status 403

  Scenario: An interrupted link is opened again
    The connection breaks while both processes run. Each end receives one event
    that the link is down, the dialer opens a new link, and the newest state
    can be sent again on it.
    Given a side that accepts links
    And an entry that dials the side
    When the side closes its connection
    Then both ends receive that the link is down
    And both ends receive that a link is up
    And the entry's dialer is in state "up"
    When both ends post 2 messages
    Then both ends receive the 2 messages in order

  Scenario: A frozen peer is detected, and connected again when it resumes
    The side's process is stopped by a signal: its connections stay open, none
    is refused and nothing is sent. Without a heartbeat the entry would wait
    for minutes. After the heartbeat timeout the entry receives that the link
    is down; when the process resumes, the dialer connects again.
    Given a side in a process of its own
    And an entry that dials the side
    When the side's process is frozen
    Then the entry receives that the link is down
    And the entry's dialer is in state "down"
    When the side's process resumes
    Then the entry receives that a link is up
    And the entry's dialer is in state "up"

  Scenario: A peer that opens a link and sends nothing is detected
    An entry is disconnected right after the hello and no reset arrives. The
    side must drop its bids instead of sending grants that no entry receives.
    Given a side that accepts links
    When a peer opens a link and stays silent
    Then the side receives that the link is down

  Scenario: A full outbox closes the link
    The peer reads more slowly than messages are posted. An unlimited queue
    would use up the memory and deliver old state late. The link is closed
    instead, and the next one starts with the newest state.
    Given a side that accepts links
    And an entry that dials the side
    When the side posts 100 messages in one iteration of the event loop
    Then both ends receive that the link is down
    And both ends receive that a link is up

  Scenario Outline: A frame that is not a valid message closes the link
    Given a side that accepts links
    When a peer opens a link and sends <frame>
    Then the side receives that the link is down
    And the side has received no message

    Examples:
      | frame                |
      | invalid JSON         |
      | an unknown tag       |
      | a wrong type         |
      | an oversized message |
      | 1200 nested lists    |
