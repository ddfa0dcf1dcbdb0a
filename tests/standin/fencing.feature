Feature: Fencing tokens at the stand-ins

  Scenario: An engine that checks the token refuses an older lease holder
    A lease holder with token 5 sends a load command. Then an earlier holder
    with token 4, which was suspended, resumes and sends its own. The engine
    refuses the older token, both in a load command and in a request.
    Given a model engine
    When a load command with fencing token 5 has status 200
    Then a load command with fencing token 4 has status 409
    And a request with fencing token 4 has status 409
    And a request with fencing token 5 has status 200
    And the accepted load commands have the fencing tokens 5

  Scenario: An engine that ignores the token runs both
    Given a model engine that ignores fencing tokens
    When a load command with fencing token 5 has status 200
    Then a load command with fencing token 4 has status 200
    And a request with fencing token 4 has status 200
    And the accepted load commands have the fencing tokens 5, 4
