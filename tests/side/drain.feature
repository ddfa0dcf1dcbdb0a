Feature: A side drains

  Scenario: Running streams finish while new run requests are refused
    The side starts to drain while a response streams. Entries are notified
    immediately; a run request that is already on its way is refused as not
    started; the running response arrives complete; only then the side closes.
    Given a side with 2 slots and its configuration
    And an entry linked to the side
    When a run request for "/gated" has returned its first chunk
    Then the entry receives a load with 1 free slots
    When the side begins to drain
    Then the entry receives a load of a draining side
    When another run request for "/echo" with body "too late" is sent
    Then the run request is refused with status 409 for "draining"
    And the side has not ended
    And the backend server's last chunk follows once it is sent
    And the side has ended

  Scenario: A drain is bounded
    A request runs longer than the grace period. It is cancelled, its response
    is visibly truncated, and the process can end.
    Given a side that drains for 0.3 seconds
    When a run request for "/gated" has returned its first chunk
    And the side begins to drain
    Then the side has ended
    And the rest of the response is truncated
