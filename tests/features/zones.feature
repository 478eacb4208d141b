Feature: An availability zone that is out gets no new work

  Scenario: A zone is out although the store goes down at once
    Given 6 bookings targets over the zones a, b, c
    And callers of bookings
    When operators take zone c out
    And the store goes down
    Then within 5 seconds zone c gets no new work
    And every caller has got a whole answer

  Scenario: A node that was frozen while its zone went out takes no work
    Given 3 bookings targets over the zones a, b, c
    When the node of zone c is frozen
    And operators take zone c out
    And the node of zone c is woken
    And 20 calls enter at the node of zone c
    Then the target of zone c has run nothing

  Scenario: A zone out in an outage stays out for a woken node
    Given 3 bookings targets over the zones a, b, c
    When the node of zone c is frozen
    And operators take zone c out
    And the store goes down
    And the node of zone c is woken
    And 20 calls enter at the node of zone c
    Then the target of zone c has run nothing
