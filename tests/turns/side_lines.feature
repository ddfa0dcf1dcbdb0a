Feature: Lines between entries and sides

  Scenario: A long line takes time by its length only
    A side sends the objects of the store in one line of megabytes. Guards
    against joining it anew with each piece that arrives, which holds the event
    loop of the entry for seconds.

    When a line of 8 MB arrives in pieces of 16 KB
    Then it is handled whole
    And that took at most 50 ms of processor time
