Feature: Each request gets one correct answer
  The guarantees to callers hold while hosts and upstreams fail.

  Scenario: A print order that is sent repeatedly runs once
    Given a zone with 2 entry hosts
    When a print order is sent 3 times through different hosts
    Then all answers are the same
    And the order ran 1 time

  Scenario: A request whose answer is lost is not reported as "not run"
    Given a zone with 2 entry hosts
    And the orders upstream loses its answers
    When a print order is sent 1 times through different hosts
    Then the answer is "outcome-unknown"
    And the order ran 1 time

  Scenario: A request that is refused as "not run" did not run
    Given a zone with 2 entry hosts
    And the orders upstream sheds its load
    When a print order is sent 1 times through different hosts
    Then the answer says that it did not run
    And the order ran 0 times

  Scenario: A planned stop does not interrupt an upload
    Given a zone with 2 entry hosts
    When a host is drained during an upload
    Then the upload is answered

  Scenario: No upstream gets more requests at once than it has slots
    Given a zone with 2 entry hosts
    When 40 views are requested at once through all hosts
    Then no upstream served more requests at once than it has slots
