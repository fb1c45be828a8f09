Feature: Planned stops cut nothing, and leaving upstreams get nothing new

  Background:
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready

  Scenario: An entry instance is stopped while it serves
    Given the executors take 2 s for each task
    When team "salto" starts "x" as "r-1" on queue "previews" through entry 0 and goes on
    And entry 0 is asked to stop
    Then the request that went on ends with result 0

  Scenario: A wave visits a pool and cuts nothing
    Given the executors take 1 s for each task
    And the rules reboot an instance in 1 s
    When a wave "w" over pool "publishing" is started
    Then requests of team "montevideo" are all served until the wave "w" is done

  Scenario: A drained upstream gets nothing new
    When the upstream "w-01" is drained
    Then "w-01" gets none of 40 requests of team "montevideo"
