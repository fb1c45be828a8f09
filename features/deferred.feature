Feature: Accepted deferred work may be delayed but is never lost

  Scenario: Every entry instance is killed after a job was accepted
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready
    And the executors take 1 s for each task
    When team "salto" defers "rebuild" to queue "nightly-rebuilds" as "job-1" through entry instance 0
    Then the response has result 1 and outcome "done"
    When every entry instance is killed
    And every entry instance is started again
    Then the job "job-1" of team "salto" ends with response "rebuild" at entry instance 1

  Scenario: A caller cancels a request through another entry instance
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready
    And the executors take 20 s for each task
    When team "salto" sends "x" as "r-1" to queue "previews" through entry instance 0 in the background
    And team "salto" cancels "r-1" through entry instance 2
    Then the background request ends with result 305
