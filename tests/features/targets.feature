Feature: Targets are spared, and callers get whole answers

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

  Scenario: Nobody works for a caller that went away
    Given 3 bookings targets over the zones a, b, c
    When a caller goes away while its request of 3000 ms runs
    Then within 2 seconds some target has been told to stop

  Scenario: A fresh target does not fall over when its peers drain
    Given 3 bookings targets that fall over when cold, over the zones a, b, c
    When 12 callers call at once while zones a and b go out
    And 4 seconds pass
    Then no target has crashed
    And every caller has got a whole answer, or one that says not run
