Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given the example is published with "baobab apply --wait"
    And every entry instance is ready

  Scenario: A withdrawn key stops working everywhere
    When the key "rochademo" is withdrawn
    Then team "rocha" is rejected with result 203 by every entry instance

  Scenario: A withdrawn key stops working at an instance that cannot reach the log
    Given entry instance 0 cannot reach the log
    When the key "rochademo" is withdrawn
    Then team "rocha" is rejected with result 203 by every entry instance

  Scenario: A withdrawn key stops working at an instance that was paused
    Given entry instance 0 is paused
    When the key "rochademo" is withdrawn without waiting
    And entry instance 0 has been paused for 6 s
    And entry instance 0 is resumed
    Then team "rocha" is never served through entry instance 0

  Scenario: Two operators change the same team concurrently
    When two operators change the same team concurrently
    Then one command reports "applied" and the other reports a conflict with exit status 3

  Scenario: An old rules file cannot restore a withdrawn key
    When the key "rochademo" is withdrawn
    And the example is published again
    Then team "rocha" is rejected with result 203 by every entry instance

  @retention=60
  Scenario: Restarted instances read the configuration after older records have expired
    When the key "rochademo" is withdrawn
    And a checkpoint is written and older records expire
    And every entry instance is killed
    And every entry instance is started again
    Then team "rocha" is rejected with result 203 by every entry instance
    And team "salto" is served through every entry instance
