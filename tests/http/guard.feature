Feature: a client can occupy only limited resources of a listener

  Without these limits any client that reaches a port for peers or operators
  could fill the memory with one header, or lock the fleet out with idle
  connections.

  Background:
    Given a guarded server with 20 connections and short limits

  Scenario: an endless header closes its connection
    A client sends one header without an end. The bytes are not stored: the
    connection is closed soon, and others are served as before.
    When a client sends an endless header
    Then the client's connection is closed
    And another call succeeds

  Scenario Outline: a late header closes its connection
    When a client <does>
    Then the client's connection is closed
    And another call succeeds

    Examples:
      | does                                      |
      | sends nothing                             |
      | sends a header byte by byte               |
      | gets a response, then sends half a header |

  Scenario: an endless body closes its connection after the response
    When a client gets a response and sends an endless body
    Then the client's connection is closed
    And another call succeeds

  Scenario: idle connections are evicted
    When clients open 60 connections and send nothing
    Then another call succeeds

  Scenario: connections with half a header are evicted like idle ones
    Guards against clients that lock out all others with a few bytes on each of
    many connections.
    When clients open 60 connections and send half a header on each
    Then another call succeeds

  Scenario: the slow body of a request in progress is not interrupted
    The limits are on headers. The application limits how long a body may take.
    When a client sends a body that takes longer than a header may
    Then the client gets its response
