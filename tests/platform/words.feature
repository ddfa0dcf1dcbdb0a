Feature: The platform's words stay in their folder

  Scenario: No other package knows them
    Every name of the platform is translated once. A second place that knew
    one would have to change with the platform, and would be forgotten.

    Then no module outside the adapter holds a word of the platform
