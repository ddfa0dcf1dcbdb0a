Feature: JSON is split without being decoded

  Scenario: The items of any array are found
    Guards against an object whose text hides the ones beside it.

    Then any items are found again in an array of them
    And any members are found again in an object of them

  Scenario Outline: An object of a megabyte holds the event loop briefly: <unit>
    Another writer renews a large object that can't be decoded. Guards against
    work for each of its brackets on each level, which holds the event loops of
    all processes that watch the store for seconds.

    When a page and a change hold an object of 1 MB of <unit> that can't be decoded
    Then reading each takes at most 10 times as long as one of numbers

    Examples:
      | unit                        |
      | [],                         |
      | {},                         |
      | "",                         |
      | [""],                       |
      | "]",["["],                  |
      | "\\\n]",                    |
      | {"a":{"b":[1,{}]}},         |
      | [[[[[[[[[[[[[]]]]]]]]]]]]], |
      | [1,[1,[1,[1,[],1],1],1],1], |

  Scenario: Values that no comma separates hold the event loop briefly
    Another writer stores bytes that are no JSON. Guards against work for each
    value in a row of them, as for each bracket above.

    When a page and a change hold an object whose value is 1 MB of {} in a row
    Then reading each takes at most 10 times as long as one of numbers
