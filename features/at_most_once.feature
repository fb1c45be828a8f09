Feature: A non-idempotent request runs at most once, and responses are correct and complete

  Background:
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready

  Scenario: A resend through another entry instance returns the first outcome
    When team "rocha" publishes "a" under key "k1" through entry instance 0
    Then the response is "a" with result 0 and outcome "done"
    When team "rocha" publishes "a" under key "k1" through entry instance 1
    Then the response is "a" with result 0 and outcome "done"
    And the number of runs under key "k1" is 1

  Scenario: Concurrent requests under one key through different entry instances run once
    Given the executors take 1 s for each task
    When team "rocha" publishes "a" under key "k1" through all entry instances concurrently
    Then every response is "a"
    And the number of runs under key "k1" is 1

  Scenario: The entry instance is killed after it sent the request
    Given the executors take 3 s for each task
    When team "rocha" starts publishing "a" under key "k1" through entry instance 0
    And entry instance 0 is killed
    And team "rocha" publishes "a" under key "k1" through entry instance 1
    Then the response has result 304 and outcome "unknown"
    And the number of runs under key "k1" is 1

  Scenario: The log's responses are lost after the appends took effect
    Given the log loses the responses to appends
    When team "rocha" publishes "a" under key "k1" through entry instance 0
    Then the response is "a" with result 0 and outcome "done"
    And the number of runs under key "k1" is 1

  Scenario: The log is down
    Given the log is down
    When team "rocha" publishes "a" under key "k1" through entry instance 0
    Then the response has result 210 and outcome "not-run"
    And the response has a Retry-After header of at least 1 s
    And the number of runs under key "k1" is 0
    When team "rocha" sends "a" to queue "previews" through entry instance 0
    Then the response is "a" with result 0 and outcome "done"
    When the log is up again
    And team "rocha" publishes "a" under key "k1" through entry instance 2 until it is done
    Then the number of runs under key "k1" is 1

  Scenario Outline: An upstream fails in mode <mode>
    Given the executors fail in mode "<mode>"
    When team "rocha" publishes "abcd" under key "k1" through entry instance 0
    Then the response has result <code> and outcome "<outcome>"
    And the number of runs under key "k1" is 1

    Examples:
      | mode      | code | outcome |
      | cut       | 300  | unknown |
      | crossed   | 302  | unknown |
      | truncated | 303  | unknown |
      | fail      | 100  | failed  |
