Feature: An availability zone out of service gets no new requests

  Scenario: A zone leaves service although the store fails right after
    Given 6 bookings targets over the zones a, b, c
    And callers of bookings
    When operators take zone c out of service
    And the store becomes unavailable
    Then within 5 seconds zone c gets no new requests
    And every caller got a complete answer

  Scenario: A node frozen while its zone leaves service accepts no calls
    Given 3 bookings targets over the zones a, b, c
    When the node of zone c is frozen
    And operators take zone c out of service
    And the node of zone c is resumed
    And 20 calls enter at the node of zone c
    Then the target of zone c has executed nothing

  Scenario: A resumed node learns in a store outage that its zone left service
    Given 3 bookings targets over the zones a, b, c
    When the node of zone c is frozen
    And operators take zone c out of service
    And the store becomes unavailable
    And the node of zone c is resumed
    And 20 calls enter at the node of zone c
    Then the target of zone c has executed nothing
