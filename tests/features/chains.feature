Feature: Calls through chains of services
  While it handles a request, a target calls the next service through its
  own node, up to six levels deep, and propagates the deadline.

  Scenario: A chain of six services gives a whole answer
    Given a chain of 6 services over the zones a, b, c
    When 10 callers call the chain in sequence
    Then every caller got a complete answer
    And each service got less time than the one before

  Scenario: Services stop working for a caller whose deadline has passed
    Given a chain of 6 services over the zones a, b, c
    When a caller waits 400 ms for a chain whose services take 300 ms each
    Then it is told that its deadline passed, or that the chain failed
    And within 2 seconds no service works on it

  Scenario: A disconnecting caller cancels the work of all services in a chain
    Given a chain of 6 services over the zones a, b, c
    When a caller disconnects while the last service of the chain works
    Then within 2 seconds no service works on it

  Scenario: Retries do not overload a failing service at the end of a chain
    Given a chain of 6 services with 2 targets each over the zones a, b, c
    When the last service fails and 100 callers call the chain in sequence
    Then the last service got at most 200 requests
