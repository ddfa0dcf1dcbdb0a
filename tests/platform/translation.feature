Feature: The platform's words become the product's

  Scenario: The operator's configuration
    Given the operator's example configuration
    Then its routes, pools, workspaces and limits are the product's

  Scenario: The longest prefix of a host wins
    Given the operator's example configuration
    Then a path under two prefixes goes to the longer one
    And a path under no prefix goes nowhere

  Scenario Outline: What can't be translated is told in a line
    Given the operator's example configuration
    When its <field> becomes <word>
    Then it is refused, and the line names <named>

    Examples:
      | field      | word     | named     |
      | version    | "x"      | version   |
      | routes     | 7        | routes    |
      | route type | "sluggy" | type      |

  Scenario: A configuration that can't be translated leaves the last in force
    Given a fleet with version 7 in force
    When a configuration comes that can't be translated
    Then version 7 is in force and a line says why the other is not

  Scenario: An older version never comes back
    Given a fleet with version 7 in force
    When version 5 comes late
    Then version 7 is in force

  Scenario: A settings file
    Given the platform's example settings
    Then the node knows its addresses, bounds and store

  Scenario Outline: A broken settings file
    Given the platform's example settings
    When their <line> becomes <other>
    Then they are refused, and the line names <named>

    Examples:
      | line                          | other                   | named       |
      | zone = "galata"               | zone = 7                | zone        |
      | address = "10.200.1.7:8781"   | address = "nowhere"     | nowhere     |
      | nodeName = "edge-galata-1"    | other = 1               | nodeName    |
      | nodeName = "edge-galata-1"    | nodeName = [            | Invalid     |

  Scenario: Changed settings are taken over without a restart
    Given a fleet with version 7 in force
    When its settings file says that a revocation binds after 3 seconds
    Then keys hold for less than 3 seconds, and a line names revoke_seconds

  Scenario: Broken settings leave the last good ones in force
    Given a fleet with version 7 in force
    When its settings file is broken
    Then the settings are as before and a line says why

  Scenario: A request's head
    Given a request as a platform's client sends it
    Then its prompt, key, patience and place in the stream are read
    And the server gets what is left of the patience, its name and the workspace
    And neither the key nor a header of one connection goes on

  Scenario: Only proofs of "not run" count as such
    Then these answers prove that nothing has run: 421, 503 with the mark
    And these do not: 500, 503, 504
