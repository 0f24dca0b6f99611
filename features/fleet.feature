Feature: Guarantees that hold across hosts
  Limits hold and versions spread while hosts and the platform fail.

  Scenario: A traffic shift never exceeds its cap
    Given two regions with callers in the east
    And a shift of views from east to west with cap 2
    When 12 views are requested at once in the west
    Then at most 2 were in flight there
    And refused requests did not run

  Scenario: A version is in force on every host and never reverts
    Given a zone with 2 entry hosts
    And one host that cannot reach the platform
    When the orders upstream is drained
    Then the drain is in force on all hosts
    When an old version is announced again
    Then no older version was adopted
    And the drain is in force on all hosts

  Scenario: A zone keeps serving without the platform
    Given a zone with 2 entry hosts
    And a platform that is down
    When a print order is sent 2 times through different hosts
    Then all answers are the same
    And the order ran 1 time

  Scenario: A host that restarts without state rejoins the fleet
    Given a zone with 2 entry hosts
    When one host is replaced by a new incarnation
    Then both hosts have the same version
    When a print order is sent 2 times through different hosts
    Then the order ran 1 time
