Feature: Invariants of the request path

  Background:
    Given instance "orders1" of service "orders" in availability zone "zone-a"
    And instance "orders2" of service "orders" in availability zone "zone-b"
    And instance "history1" of service "history" in availability zone "zone-b"
    And all instances have discovered each other

  Scenario: A request passes through several services
    When a caller requests "/orders/1?call=/history/2" at instance "history1"
    Then the response status is 200 and the body ends with "<- history1 0 bytes"

  Scenario: Except on routes open to all, a request runs only for the client account of the key that it carries
    When a caller without a key requests "/orders/1" at instance "orders1"
    Then the request is refused with 401 as not run
    When a caller without a key requests "/open/1" at instance "orders1"
    Then the response status is 200

  Scenario: No upstream ever sees a caller's key
    When a caller requests "/orders/1?call=/history/2" at instance "orders2"
    Then the response status is 200
    And no upstream has received a key

  Scenario: A withdrawn key stops working within seconds, even for callers already connected
    Given a caller that each instance has served
    And the platform is down
    When an operator withdraws the key at instance "orders2"
    Then the same caller is eventually refused by each instance

  Scenario: A withdrawn key stops working while the platform is reachable
    When an operator withdraws the key at instance "history1"
    Then the same caller is eventually refused by each instance

  Scenario: An accepted configuration is in force everywhere, and one of two racing operators wins
    When two operators set different bursts of the client account from the same version at two instances
    Then one of them succeeds and the other fails with a conflict
    And the accepted burst eventually takes effect at each instance

  Scenario: A configuration change whose response was lost is accepted once
    When the responses of the platform are lost while an operator sets a burst of the client account
    Then the accepted burst eventually takes effect at each instance
    And the log contains the change once

  Scenario: A non-idempotent request runs at most once
    When a caller sends the order "order-17" 5 times at each instance
    Then the order "order-17" ran once

  Scenario: An upstream that is leaving gets no new work
    When the upstream of instance "orders1" announces that it is draining
    Then eventually every request for "/orders/1" at each instance is served by "orders2"

  Scenario: A planned stop is a graceful shutdown and cuts no request in progress
    Given 20 requests for "/orders/1?work-ms=400" in progress at instance "history1"
    When instance "orders2" is stopped
    Then all requests in progress complete with status 200
