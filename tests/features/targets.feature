Feature: Targets are protected and callers get complete answers

  Scenario: A graceful stop of a node interrupts no call
    Given 4 bookings targets over the zones a, b
    And callers of bookings that wait 300 ms for each answer
    When a node is told to stop
    Then it exits with code 0
    And no call was interrupted

  Scenario: A stopping target gets no new requests
    Given 4 bookings targets over the zones a, b
    And callers of bookings
    When a target is told to stop
    Then it exits with code 0
    And every caller got a complete answer

  Scenario: A request that crashes targets is blocked after a few
    Given 6 bookings targets over the zones a, b, c
    When 8 callers send the request that crashes targets, in sequence
    Then at most 3 targets have crashed
    And similar requests are answered

  Scenario: A body that is cut short is never taken as complete
    Given 3 bookings targets over the zones a, b, c
    When the target of zone a truncates its bodies
    And 30 calls of 20000 bytes enter at the node of zone a
    Then no caller got a wrong answer
    And every caller got a complete answer

  Scenario: Unresponsive connections are detected and replaced
    Given 3 bookings targets over the zones a, b, c
    And callers of bookings
    When the node of zone c is frozen
    And 4 seconds pass
    Then no caller got a wrong answer
    And every caller got a complete answer

  Scenario: A request whose caller disconnects is cancelled
    Given 3 bookings targets over the zones a, b, c
    When a caller disconnects while its request of 3000 ms runs
    Then within 2 seconds some target is told to cancel it

  Scenario: A cold target does not crash when its peers drain
    Given 3 bookings targets that crash when cold, over the zones a, b, c
    When 12 callers call at once while zones a and b leave service
    And 4 seconds pass
    Then no target has crashed
    And every caller got a complete answer, or one that says not run
