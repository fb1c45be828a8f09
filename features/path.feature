Feature: A request passes through an entry instance to an upstream, and its response is complete

  Scenario: Requests with and without a key pass through real processes
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready
    When team "montevideo" sends "hello" to queue "previews" through entry instance 0
    Then the response is "hello" with result 0 and outcome "done"
    When team "montevideo" sends "hello" to queue "previews" through entry instance 2
    Then the response is "hello" with result 0 and outcome "done"
    When a client without a key sends "hello" to queue "previews" through entry instance 1
    Then the response has result 202 and outcome "not-run"
    When a client without a key sends "hello" to queue "transport-feeds" through entry instance 1
    Then the response is "hello" with result 0 and outcome "done"
    And each routing decision is one JSON line with its request, upstream, zone and reason
    And the operators' port of entry instance 0 serves metrics only with the operator token
