Feature: What must always hold
  Real processes on loopback, which are killed, frozen, cut off from the
  store, and asked to stop.

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

  Scenario: A graceful stop of a node cuts nothing off
    Given 4 bookings targets over the zones a, b
    And callers of bookings that wait 300 ms for each answer
    When a node is told to stop
    Then it ends with code 0
    And no call was cut off

  Scenario: A target that leaves gets no new work
    Given 4 bookings targets over the zones a, b
    And callers of bookings
    When a target is told to stop
    Then it ends with code 0
    And every caller has got a whole answer

  Scenario: A payment runs at most once though nodes are killed
    Given 5 bookings targets over the zones a, b, c
    And callers that pay with keys, again until they know
    When a node is killed
    And another node is frozen for 2 seconds
    And 9 seconds pass
    Then no payment ran twice
    And every payment that was answered ran

  Scenario: A request that crashes targets stops after a few
    Given 6 bookings targets over the zones a, b, c
    When 8 callers send the request that crashes targets, one by one
    Then at most 3 targets have crashed
    And requests that look like it are answered

  Scenario: A body that is cut short never passes as whole
    Given 3 bookings targets over the zones a, b, c
    When the target of zone a cuts its bodies short
    And 30 calls of 20000 bytes enter at the node of zone a
    Then no caller has got a wrong answer
    And every caller has got a whole answer

  Scenario: Silent connections are found and replaced
    Given 3 bookings targets over the zones a, b, c
    And callers of bookings
    When the node of zone c is frozen
    And 4 seconds pass
    Then no caller has got a wrong answer
    And every caller has got a whole answer

  Scenario: A zone out in an outage stays out for a woken node
    Given 3 bookings targets over the zones a, b, c
    When the node of zone c is frozen
    And operators take zone c out
    And the store goes down
    And the node of zone c is woken
    And 20 calls enter at the node of zone c
    Then the target of zone c has run nothing

  Scenario: One key sent through two nodes at once runs once
    Given 5 bookings targets over the zones a, b, c
    When 20 payments are each sent through 3 nodes at once
    Then no payment ran twice
    And every payment that was answered ran

  Scenario: Nobody works for a caller that went away
    Given 3 bookings targets over the zones a, b, c
    When a caller goes away while its request of 3000 ms runs
    Then within 2 seconds some target has been told to stop

  Scenario: A payment whose target is killed is not run again
    Given 3 bookings targets over the zones a, b, c
    When a target is killed while it runs a payment of 1500 ms
    Then the payment is answered as unknown, also when it is sent again

  Scenario: A fresh target does not fall over when its peers drain
    Given 3 bookings targets that fall over when cold, over the zones a, b, c
    When 12 callers call at once while zones a and b go out
    And 4 seconds pass
    Then no target has crashed
    And every caller has got a whole answer, or one that says not run
