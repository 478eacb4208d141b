Feature: An accepted configuration is in force everywhere and stays

  Scenario: A node that starts in an outage learns from its peers
    Given 3 bookings targets over the zones a, b, c
    And operators take zone c out
    When the store goes down
    And a node joins zone a with seeds
    Then within 10 seconds the new node has the revision of the others
    And a call that enters at the new node is answered

  Scenario: A lost answer of the store is no lost change
    Given 3 bookings targets over the zones a, b, c
    When the store loses the answers of writes
    And operators take zone c out
    Then within 10 seconds the change is in force everywhere
    And the change was made once

  Scenario: One of two racing operators is refused
    Given 3 bookings targets over the zones a, b, c
    When two operators change bookings from the same revision
    Then one is told the revision that came first
