Feature: A request goes through an entry instance to an upstream and comes back whole

  Scenario: The path, with real processes
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready
    When team "montevideo" sends "hello" to queue "previews" through entry 0
    Then the answer is "hello" with result 0 and outcome "done"
    When team "montevideo" sends "hello" to queue "previews" through entry 2
    Then the answer is "hello" with result 0 and outcome "done"
    When somebody without a key sends "hello" to queue "previews" through entry 1
    Then the answer has result 202 and outcome "not-run"
    When somebody without a key sends "hello" to queue "transport-feeds" through entry 1
    Then the answer is "hello" with result 0 and outcome "done"
    And each routing decision is one JSON line with its request, upstream, zone and reason
    And the operators' port of entry 0 shows metrics with the token and refuses without
