Feature: Response heads that a server breaks off

  Scenario Outline: A head that ends early is no response: <form>
    A server stops in the middle of its response's head and closes. Guards
    against a 200 with an empty or short body that looks complete.

    Given a relay in front of 1 plain server
    When the next response is cut after <form>
    And a caller sends a report request meanwhile
    Then the caller gets status 502
    When another caller sends a report
    Then the caller gets status 200

    Examples:
      | form                            |
      | half a status line              |
      | a status line                   |
      | the stamp                       |
      | half a length                   |
      | half a blank line               |
      | half a coding                   |
      | an interim head                 |
      | half an interim head            |
      | an interim head and half a head |
