Feature: Accepted configuration takes effect on every node and is kept

  Scenario: A node that starts in a store outage gets the state from its peers
    Given 3 bookings targets over the zones a, b, c
    And operators take zone c out of service
    When the store becomes unavailable
    And a node joins zone a with seeds
    Then within 10 seconds the new node has the revision of the others
    And a call that enters at the new node is answered

  Scenario: A lost answer of the store does not lose the change
    Given 3 bookings targets over the zones a, b, c
    When the store loses the replies to writes
    And operators take zone c out of service
    Then within 10 seconds the change is in force everywhere
    And the change was made once

  Scenario: One of two concurrent changes by operators is refused
    Given 3 bookings targets over the zones a, b, c
    When two operators change bookings from the same revision
    Then one is refused with the revision that came first
