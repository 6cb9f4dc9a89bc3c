Feature: Requests under every fault at every step
  Each draft is complete and delivers each token once. Each operation runs at most once, also when
  the same key is sent again through another daemon, and one reported as `not_run` has not run.

  Scenario Outline: A draft while <fault> at <step>
    Given a site with two fabric domains
    When a draft reaches the step "<step>" and <fault>
    Then the answer is complete with each token once
    And nothing stays in flight

    Examples:
      | step | fault |
      | accept | member dies |
      | admit | member dies |
      | choose | member dies |
      | connect | member dies |
      | send | member dies |
      | first byte | member dies |
      | mid-stream | member dies |
      | end | member dies |
      | accept | member pauses |
      | admit | member pauses |
      | choose | member pauses |
      | connect | member pauses |
      | send | member pauses |
      | first byte | member pauses |
      | mid-stream | member pauses |
      | end | member pauses |
      | accept | fabric domain stops responding |
      | admit | fabric domain stops responding |
      | choose | fabric domain stops responding |
      | connect | fabric domain stops responding |
      | send | fabric domain stops responding |
      | first byte | fabric domain stops responding |
      | mid-stream | fabric domain stops responding |
      | end | fabric domain stops responding |
      | accept | member straggles |
      | admit | member straggles |
      | choose | member straggles |
      | connect | member straggles |
      | send | member straggles |
      | first byte | member straggles |
      | mid-stream | member straggles |
      | end | member straggles |
      | accept | open connections go silent |
      | admit | open connections go silent |
      | choose | open connections go silent |
      | connect | open connections go silent |
      | send | open connections go silent |
      | first byte | open connections go silent |
      | mid-stream | open connections go silent |
      | end | open connections go silent |
      | accept | platform goes down |
      | admit | platform goes down |
      | choose | platform goes down |
      | connect | platform goes down |
      | send | platform goes down |
      | first byte | platform goes down |
      | mid-stream | platform goes down |
      | end | platform goes down |
      | accept | platform loses answers |
      | admit | platform loses answers |
      | choose | platform loses answers |
      | connect | platform loses answers |
      | send | platform loses answers |
      | first byte | platform loses answers |
      | mid-stream | platform loses answers |
      | end | platform loses answers |
      | accept | operators race |
      | admit | operators race |
      | choose | operators race |
      | connect | operators race |
      | send | operators race |
      | first byte | operators race |
      | mid-stream | operators race |
      | end | operators race |
      | accept | endpoint starts leaving |
      | admit | endpoint starts leaving |
      | choose | endpoint starts leaving |
      | connect | endpoint starts leaving |
      | send | endpoint starts leaving |
      | first byte | endpoint starts leaving |
      | mid-stream | endpoint starts leaving |
      | end | endpoint starts leaving |

  Scenario Outline: A keyed operation while <fault> at <step>
    Given a site with two fabric domains
    When an operation reaches the step "<step>" and <fault>
    Then the caller receives the outcome "<outcome>"
    And the operation has run as often as the outcome allows
    And the same key through another daemon never runs it again

    Examples:
      | step | fault | outcome |
      | accept | endpoint dies | complete |
      | claim | endpoint dies | complete |
      | choose | endpoint dies | complete |
      | connect | endpoint dies | complete |
      | send | endpoint dies | unknown |
      | record | endpoint dies | complete |
      | answer | endpoint dies | complete |
      | accept | endpoint pauses | unknown or complete |
      | claim | endpoint pauses | unknown or complete |
      | choose | endpoint pauses | unknown or complete |
      | connect | endpoint pauses | unknown |
      | send | endpoint pauses | unknown |
      | record | endpoint pauses | complete |
      | answer | endpoint pauses | complete |
      | accept | endpoint refuses | complete |
      | claim | endpoint refuses | complete |
      | choose | endpoint refuses | complete |
      | connect | endpoint refuses | complete |
      | send | endpoint refuses | complete |
      | record | endpoint refuses | complete |
      | answer | endpoint refuses | complete |
      | accept | answer is lost | unknown |
      | claim | answer is lost | unknown |
      | choose | answer is lost | unknown |
      | connect | answer is lost | unknown |
      | send | answer is lost | unknown |
      | record | answer is lost | complete |
      | answer | answer is lost | complete |
      | accept | platform goes down | not_run |
      | claim | platform goes down | not_run |
      | choose | platform goes down | complete |
      | connect | platform goes down | complete |
      | send | platform goes down | complete |
      | record | platform goes down | complete |
      | answer | platform goes down | complete |
      | accept | platform is slow | complete |
      | claim | platform is slow | complete |
      | choose | platform is slow | complete |
      | connect | platform is slow | complete |
      | send | platform is slow | complete |
      | record | platform is slow | complete |
      | answer | platform is slow | complete |
      | accept | platform loses answers | complete |
      | claim | platform loses answers | complete |
      | choose | platform loses answers | complete |
      | connect | platform loses answers | complete |
      | send | platform loses answers | complete |
      | record | platform loses answers | complete |
      | answer | platform loses answers | complete |
      | accept | operators race | complete |
      | claim | operators race | complete |
      | choose | operators race | complete |
      | connect | operators race | complete |
      | send | operators race | complete |
      | record | operators race | complete |
      | answer | operators race | complete |
      | accept | endpoint starts leaving | complete |
      | claim | endpoint starts leaving | complete |
      | choose | endpoint starts leaving | complete |
      | connect | endpoint starts leaving | complete |
      | send | endpoint starts leaving | complete |
      | record | endpoint starts leaving | complete |
      | answer | endpoint starts leaving | complete |
