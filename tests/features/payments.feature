Feature: A payment is executed at most once

  Scenario: A payment is executed at most once when nodes are killed
    Given 5 bookings targets over the zones a, b, c
    And callers that pay with keys and retry until they know the outcome
    When a node is killed
    And another node is frozen for 2 seconds
    And 9 seconds pass
    Then no payment was executed twice
    And every payment that was answered was executed

  Scenario: One key sent through several nodes at once is executed once
    Given 5 bookings targets over the zones a, b, c
    When 20 payments are each sent through 3 nodes at once
    Then no payment was executed twice
    And every payment that was answered was executed

  Scenario: A payment whose target is killed is not executed again
    Given 3 bookings targets over the zones a, b, c
    When a target is killed while it runs a payment of 1500 ms
    Then the outcome of the payment is unknown, also when it is retried

  Scenario Outline: A payment takes effect once when two of its processes are killed
    Given 6 bookings targets over the zones a, b, c, whose orders a ledger counts
    When the <one> and the <other> of a payment of 400 ms are killed
    And the payment is retried through the others for 6 seconds
    Then it has taken effect once
    And no caller was told that it was not executed

    Examples:
      | one          | other              |
      | entry node   | first holder       |
      | first holder | target             |
      | entry node   | node of the target |

  Scenario: A payment whose entry node dies is answered when retried
    Given 6 bookings targets over the zones a, b, c, whose orders a ledger counts
    When the entry node of a payment of 400 ms is killed
    And the payment is retried through the others for 4 seconds
    Then it has taken effect once
    And the last answer is whole
