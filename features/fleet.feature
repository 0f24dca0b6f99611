Feature: Hosts keep their promises together
  Caps, slots and versions hold while hosts and the platform fail.

  Scenario: A move of choir traffic never exceeds its cap
    Given two regions with callers of the east
    And a shift of views from east to west with cap 2
    When 12 views are asked for at once in the west
    Then never more than 2 were in flight there
    And what was refused did not run

  Scenario: A version is in force on every host and never reverts
    Given a zone with 2 entry hosts
    And one host that cannot reach the platform
    When the print upstream is drained
    Then the drain is in force on all hosts
    When an old version is told again
    Then no older version was adopted
    And the drain is in force on all hosts

  Scenario: A zone goes on without the platform
    Given a zone with 2 entry hosts
    And a platform that is down
    When a print order is sent 2 times through different hosts
    Then all answers are the same
    And the order ran 1 time

  Scenario: A host that restarts with nothing takes part again
    Given a zone with 2 entry hosts
    When one host is replaced by a new incarnation
    Then both hosts have the same version
    When a print order is sent 2 times through different hosts
    Then the order ran 1 time
