Feature: A payment runs at most once

  Scenario: A payment runs at most once though nodes are killed
    Given 5 bookings targets over the zones a, b, c
    And callers that pay with keys, again until they know
    When a node is killed
    And another node is frozen for 2 seconds
    And 9 seconds pass
    Then no payment ran twice
    And every payment that was answered ran

  Scenario: One key sent through two nodes at once runs once
    Given 5 bookings targets over the zones a, b, c
    When 20 payments are each sent through 3 nodes at once
    Then no payment ran twice
    And every payment that was answered ran

  Scenario: A payment whose target is killed is not run again
    Given 3 bookings targets over the zones a, b, c
    When a target is killed while it runs a payment of 1500 ms
    Then the payment is answered as unknown, also when it is sent again

  Scenario Outline: A payment takes effect once though two are killed with it
    Given 6 bookings targets over the zones a, b, c, whose orders a ledger counts
    When the <one> and the <other> of a payment of 400 ms are killed
    And its key is sent through the others for 6 seconds
    Then it has taken effect once
    And nobody was told that it had not run

    Examples:
      | one          | other              |
      | entry node   | first holder       |
      | first holder | target             |
      | entry node   | node of the target |

  Scenario: A payment whose entry node dies is answered when sent again
    Given 6 bookings targets over the zones a, b, c, whose orders a ledger counts
    When the entry node of a payment of 400 ms is killed
    And its key is sent through the others for 4 seconds
    Then it has taken effect once
    And the last answer is whole
