Feature: The platform's names stay in their package

  Scenario: No other package uses them
    Every name of the platform is translated in one place. A second place that
    used one would have to change with the platform, and would be overlooked.

    Then no module outside the adapter contains a name of the platform
