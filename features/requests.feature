Feature: Every caller gets one true answer
  Callers of the score renderer and of the signing queue see the promises of
  the service kept while hosts and upstreams fail.

  Scenario: A print order sent again runs once
    Given a zone with 2 entry hosts
    When a print order is sent 3 times through different hosts
    Then all answers are the same
    And the order ran 1 time

  Scenario: An answer that is lost is not called "not run"
    Given a zone with 2 entry hosts
    And the print upstream loses its answers
    When a print order is sent 1 times through different hosts
    Then the answer is "outcome-unknown"
    And the order ran 1 time

  Scenario: What is refused as "not run" did not run
    Given a zone with 2 entry hosts
    And the print upstream sheds its load
    When a print order is sent 1 times through different hosts
    Then the answer says that it did not run
    And the order ran 0 times

  Scenario: A planned stop cuts no upload
    Given a zone with 2 entry hosts
    When a host is drained during an upload
    Then the upload is answered

  Scenario: Slots are never exceeded
    Given a zone with 2 entry hosts
    When 40 views are asked for at once through all hosts
    Then no upstream served more requests at once than it has slots
