Feature: TCP proxy between a caller and a target

  Scenario: It forwards requests
    Given a plain service behind a proxy
    Then a lookup through the proxy succeeds

  Scenario: A cut closes open connections and refuses new ones
    A request is running through the proxy when it is cut: its connection is
    interrupted, and the next caller can't connect.
    Given a plain service behind a proxy
    When a slow request runs through the proxy
    And the proxy is cut
    Then the slow request was interrupted
    And a lookup through the proxy is not sent
    And after it is restored a lookup through the proxy succeeds

  Scenario: A freeze withholds bytes and keeps connections open
    Given a plain service behind a proxy
    When the proxy is frozen
    And a lookup is sent through the proxy
    Then there is no response within 0.3 seconds
    And once the proxy is thawed the lookup succeeds
    And the service soon ran 1 lookup

  Scenario: Responses are dropped in one direction
    The request reaches the service and runs; its response is dropped, so
    that the caller cannot know whether it ran.
    Given a plain service behind a proxy
    When the proxy drops the bytes to the caller
    And a lookup is sent through the proxy
    Then the service soon ran 1 lookup
    And there is no response within 0.3 seconds

  Scenario: A delay does not lower the rate
    Given a plain service behind a proxy
    When the proxy delays by 0.2 seconds
    Then a body of 2000000 bytes arrives through the proxy

  Scenario: Withheld bytes arrive after their sender's connection was closed
    The proxy withholds a request; its caller's connection is closed, and new
    connections work. Later the withheld request reaches the service and
    runs, like a packet that a network has delayed.
    Given a plain service behind a proxy
    When the proxy is frozen
    And a lookup is sent through the proxy
    Then there is no response within 0.3 seconds
    When the proxy closes its callers' connections and withholds their bytes
    Then the lookup was interrupted
    And another request through the proxy succeeds
    And the service ran no lookup yet
    When the proxy forwards the withheld bytes
    Then the service soon ran 1 lookup
