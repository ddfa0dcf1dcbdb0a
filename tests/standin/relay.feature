Feature: Relay between a caller and a target

  Scenario: It passes requests on
    Given a plain service behind a relay
    Then a lookup through the relay is answered

  Scenario: A cut breaks what runs and refuses what comes
    A request is running through the relay when the link is cut: its caller
    sees a broken connection, and the next caller none at all.
    Given a plain service behind a relay
    When a slow request runs through the relay
    And the relay is cut
    Then the slow request broke
    And a lookup through the relay is not sent
    And after it is restored a lookup through the relay is answered

  Scenario: A freeze holds bytes and keeps connections
    Given a plain service behind a relay
    When the relay is frozen
    And a lookup is sent through the relay
    Then there is no answer within 0.3 seconds
    And once the relay is thawed the lookup is answered
    And the service soon ran 1 lookup

  Scenario: Answers are lost one way
    The request reaches the service and runs; its answer is dropped on the
    way back, so that the caller cannot tell whether it ran.
    Given a plain service behind a relay
    When the relay drops what goes to the caller
    And a lookup is sent through the relay
    Then the service soon ran 1 lookup
    And there is no answer within 0.3 seconds

  Scenario: A delay does not lower the rate
    Given a plain service behind a relay
    When the relay delays by 0.2 seconds
    Then a body of 2000000 bytes arrives through the relay

  Scenario: Stranded bytes arrive though their sender was told of a break
    The relay holds a request; its caller's connection breaks, and new ones
    pass. Later the held request reaches the service and runs, as a packet
    does that a network has delayed.
    Given a plain service behind a relay
    When the relay is frozen
    And a lookup is sent through the relay
    Then there is no answer within 0.3 seconds
    When the relay strands what it holds
    Then the lookup broke
    And another request through the relay is answered
    And the service ran no lookup yet
    When the relay delivers what was stranded
    Then the service soon ran 1 lookup
