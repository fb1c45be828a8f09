Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready

  Scenario: A withdrawn key stops working everywhere
    When the key "rochademo" is withdrawn
    Then team "rocha" is refused with result 203 through every entry

  Scenario: A withdrawn key stops working at an instance cut off from the log
    Given entry 0 is cut off from the log
    When the key "rochademo" is withdrawn
    Then team "rocha" is refused with result 203 through every entry

  Scenario: A withdrawn key stops working at an instance that was paused
    Given entry 0 is paused
    When the key "rochademo" is withdrawn without waiting
    And 6 s pass for entry 0
    And entry 0 goes on
    Then team "rocha" is never served through entry 0

  Scenario: Two operators race
    When two operators change the same team at once
    Then one is told "applied" and the other is told of the conflict with exit status 3

  Scenario: A key can not be given again by an old rules file
    When the key "rochademo" is withdrawn
    And the example is published again
    Then team "rocha" is refused with result 203 through every entry

  @retention=60
  Scenario: A replaced instance starts from the log after older records expired
    When the key "rochademo" is withdrawn
    And a checkpoint is written and everything older expires
    And every entry instance is killed
    And every entry instance is started again
    Then team "rocha" is refused with result 203 through every entry
    And team "salto" is served through every entry
