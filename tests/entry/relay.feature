Feature: A caller receives its own whole answer

  Background:
    Given side "side-a" of pool "ice-llm"
    And side "side-c" of pool "chart-api"
    And an entry

  Scenario: A streamed chat completion
    Given "side-a" streams 3 events and the terminal
    When a caller asks for a streamed completion
    Then the answer has status 200 and is whole
    And the answer's body holds 3 events and the terminal
    And the answer has header "content-type" of "text/event-stream"
