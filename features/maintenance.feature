Feature: Planned stops interrupt no requests, and drained upstreams receive no new ones

  Background:
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready

  Scenario: An entry instance is stopped while it serves a request
    Given the executors take 2 s for each task
    When team "salto" sends "x" as "r-1" to queue "previews" through entry instance 0 in the background
    And entry instance 0 is asked to stop
    Then the background request ends with result 0

  Scenario: A maintenance wave over a pool interrupts no requests
    Given the executors take 1 s for each task
    And the rules set a reboot time of 1 s
    When a wave "w" over pool "publishing" is started
    Then requests of team "montevideo" are all served until the wave "w" is done

  Scenario: A drained upstream receives no new requests
    When the upstream "w-01" is drained
    Then upstream "w-01" receives none of 40 requests of team "montevideo"
