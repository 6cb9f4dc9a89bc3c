Feature: Placement under every fault at every step
  After every step, no VM is in two replicas, no order was sent without the lease to an engine that
  ignores fencing tokens, and the next generation has not decreased. Once the fault is over, every
  replica that can be whole becomes whole.

  Scenario Outline: <process> while <fault> at <step>
    Given a zone with spares and engines that <kind> fencing tokens
    When <process> reaches the step "<step>" and <fault>
    Then no invariant was broken at any step
    And every replica that can be whole becomes whole

    Examples:
      | kind | process | step | fault |
      | check | formation | before intent | a member dies |
      | check | formation | before intent | a member pauses |
      | check | formation | before intent | a member flaps |
      | check | formation | before intent | the holder pauses |
      | check | formation | before intent | the holder dies |
      | check | formation | before intent | the platform goes down |
      | check | formation | before intent | the answer is lost |
      | check | formation | before intent | the orders are lost |
      | check | formation | before intent | a domain stops responding |
      | check | formation | before intent | the document changes |
      | check | formation | after intent | a member dies |
      | check | formation | after intent | a member pauses |
      | check | formation | after intent | a member flaps |
      | check | formation | after intent | the holder pauses |
      | check | formation | after intent | the holder dies |
      | check | formation | after intent | the platform goes down |
      | check | formation | after intent | the answer is lost |
      | check | formation | after intent | the orders are lost |
      | check | formation | after intent | a domain stops responding |
      | check | formation | after intent | the document changes |
      | check | formation | first order | a member dies |
      | check | formation | first order | a member pauses |
      | check | formation | first order | a member flaps |
      | check | formation | first order | the holder pauses |
      | check | formation | first order | the holder dies |
      | check | formation | first order | the platform goes down |
      | check | formation | first order | the answer is lost |
      | check | formation | first order | the orders are lost |
      | check | formation | first order | a domain stops responding |
      | check | formation | first order | the document changes |
      | check | formation | all ordered | a member dies |
      | check | formation | all ordered | a member pauses |
      | check | formation | all ordered | a member flaps |
      | check | formation | all ordered | the holder pauses |
      | check | formation | all ordered | the holder dies |
      | check | formation | all ordered | the platform goes down |
      | check | formation | all ordered | the answer is lost |
      | check | formation | all ordered | the orders are lost |
      | check | formation | all ordered | a domain stops responding |
      | check | formation | all ordered | the document changes |
      | check | repair | before intent | a member dies |
      | check | repair | before intent | a member pauses |
      | check | repair | before intent | a member flaps |
      | check | repair | before intent | the holder pauses |
      | check | repair | before intent | the holder dies |
      | check | repair | before intent | the platform goes down |
      | check | repair | before intent | the answer is lost |
      | check | repair | before intent | the orders are lost |
      | check | repair | before intent | a domain stops responding |
      | check | repair | before intent | the document changes |
      | check | repair | after intent | a member dies |
      | check | repair | after intent | a member pauses |
      | check | repair | after intent | a member flaps |
      | check | repair | after intent | the holder pauses |
      | check | repair | after intent | the holder dies |
      | check | repair | after intent | the platform goes down |
      | check | repair | after intent | the answer is lost |
      | check | repair | after intent | the orders are lost |
      | check | repair | after intent | a domain stops responding |
      | check | repair | after intent | the document changes |
      | check | repair | first order | a member dies |
      | check | repair | first order | a member pauses |
      | check | repair | first order | a member flaps |
      | check | repair | first order | the holder pauses |
      | check | repair | first order | the holder dies |
      | check | repair | first order | the platform goes down |
      | check | repair | first order | the answer is lost |
      | check | repair | first order | the orders are lost |
      | check | repair | first order | a domain stops responding |
      | check | repair | first order | the document changes |
      | check | repair | all ordered | a member dies |
      | check | repair | all ordered | a member pauses |
      | check | repair | all ordered | a member flaps |
      | check | repair | all ordered | the holder pauses |
      | check | repair | all ordered | the holder dies |
      | check | repair | all ordered | the platform goes down |
      | check | repair | all ordered | the answer is lost |
      | check | repair | all ordered | the orders are lost |
      | check | repair | all ordered | a domain stops responding |
      | check | repair | all ordered | the document changes |
      | check | roll-out | before intent | a member dies |
      | check | roll-out | before intent | a member pauses |
      | check | roll-out | before intent | a member flaps |
      | check | roll-out | before intent | the holder pauses |
      | check | roll-out | before intent | the holder dies |
      | check | roll-out | before intent | the platform goes down |
      | check | roll-out | before intent | the answer is lost |
      | check | roll-out | before intent | the orders are lost |
      | check | roll-out | before intent | a domain stops responding |
      | check | roll-out | before intent | the document changes |
      | check | roll-out | after intent | a member dies |
      | check | roll-out | after intent | a member pauses |
      | check | roll-out | after intent | a member flaps |
      | check | roll-out | after intent | the holder pauses |
      | check | roll-out | after intent | the holder dies |
      | check | roll-out | after intent | the platform goes down |
      | check | roll-out | after intent | the answer is lost |
      | check | roll-out | after intent | the orders are lost |
      | check | roll-out | after intent | a domain stops responding |
      | check | roll-out | after intent | the document changes |
      | check | roll-out | first order | a member dies |
      | check | roll-out | first order | a member pauses |
      | check | roll-out | first order | a member flaps |
      | check | roll-out | first order | the holder pauses |
      | check | roll-out | first order | the holder dies |
      | check | roll-out | first order | the platform goes down |
      | check | roll-out | first order | the answer is lost |
      | check | roll-out | first order | the orders are lost |
      | check | roll-out | first order | a domain stops responding |
      | check | roll-out | first order | the document changes |
      | check | roll-out | all ordered | a member dies |
      | check | roll-out | all ordered | a member pauses |
      | check | roll-out | all ordered | a member flaps |
      | check | roll-out | all ordered | the holder pauses |
      | check | roll-out | all ordered | the holder dies |
      | check | roll-out | all ordered | the platform goes down |
      | check | roll-out | all ordered | the answer is lost |
      | check | roll-out | all ordered | the orders are lost |
      | check | roll-out | all ordered | a domain stops responding |
      | check | roll-out | all ordered | the document changes |
      | ignore | formation | before intent | a member dies |
      | ignore | formation | before intent | a member pauses |
      | ignore | formation | before intent | a member flaps |
      | ignore | formation | before intent | the holder pauses |
      | ignore | formation | before intent | the holder dies |
      | ignore | formation | before intent | the platform goes down |
      | ignore | formation | before intent | the answer is lost |
      | ignore | formation | before intent | the orders are lost |
      | ignore | formation | before intent | a domain stops responding |
      | ignore | formation | before intent | the document changes |
      | ignore | formation | after intent | a member dies |
      | ignore | formation | after intent | a member pauses |
      | ignore | formation | after intent | a member flaps |
      | ignore | formation | after intent | the holder pauses |
      | ignore | formation | after intent | the holder dies |
      | ignore | formation | after intent | the platform goes down |
      | ignore | formation | after intent | the answer is lost |
      | ignore | formation | after intent | the orders are lost |
      | ignore | formation | after intent | a domain stops responding |
      | ignore | formation | after intent | the document changes |
      | ignore | formation | first order | a member dies |
      | ignore | formation | first order | a member pauses |
      | ignore | formation | first order | a member flaps |
      | ignore | formation | first order | the holder pauses |
      | ignore | formation | first order | the holder dies |
      | ignore | formation | first order | the platform goes down |
      | ignore | formation | first order | the answer is lost |
      | ignore | formation | first order | the orders are lost |
      | ignore | formation | first order | a domain stops responding |
      | ignore | formation | first order | the document changes |
      | ignore | formation | all ordered | a member dies |
      | ignore | formation | all ordered | a member pauses |
      | ignore | formation | all ordered | a member flaps |
      | ignore | formation | all ordered | the holder pauses |
      | ignore | formation | all ordered | the holder dies |
      | ignore | formation | all ordered | the platform goes down |
      | ignore | formation | all ordered | the answer is lost |
      | ignore | formation | all ordered | the orders are lost |
      | ignore | formation | all ordered | a domain stops responding |
      | ignore | formation | all ordered | the document changes |
      | ignore | repair | before intent | a member dies |
      | ignore | repair | before intent | a member pauses |
      | ignore | repair | before intent | a member flaps |
      | ignore | repair | before intent | the holder pauses |
      | ignore | repair | before intent | the holder dies |
      | ignore | repair | before intent | the platform goes down |
      | ignore | repair | before intent | the answer is lost |
      | ignore | repair | before intent | the orders are lost |
      | ignore | repair | before intent | a domain stops responding |
      | ignore | repair | before intent | the document changes |
      | ignore | repair | after intent | a member dies |
      | ignore | repair | after intent | a member pauses |
      | ignore | repair | after intent | a member flaps |
      | ignore | repair | after intent | the holder pauses |
      | ignore | repair | after intent | the holder dies |
      | ignore | repair | after intent | the platform goes down |
      | ignore | repair | after intent | the answer is lost |
      | ignore | repair | after intent | the orders are lost |
      | ignore | repair | after intent | a domain stops responding |
      | ignore | repair | after intent | the document changes |
      | ignore | repair | first order | a member dies |
      | ignore | repair | first order | a member pauses |
      | ignore | repair | first order | a member flaps |
      | ignore | repair | first order | the holder pauses |
      | ignore | repair | first order | the holder dies |
      | ignore | repair | first order | the platform goes down |
      | ignore | repair | first order | the answer is lost |
      | ignore | repair | first order | the orders are lost |
      | ignore | repair | first order | a domain stops responding |
      | ignore | repair | first order | the document changes |
      | ignore | repair | all ordered | a member dies |
      | ignore | repair | all ordered | a member pauses |
      | ignore | repair | all ordered | a member flaps |
      | ignore | repair | all ordered | the holder pauses |
      | ignore | repair | all ordered | the holder dies |
      | ignore | repair | all ordered | the platform goes down |
      | ignore | repair | all ordered | the answer is lost |
      | ignore | repair | all ordered | the orders are lost |
      | ignore | repair | all ordered | a domain stops responding |
      | ignore | repair | all ordered | the document changes |
      | ignore | roll-out | before intent | a member dies |
      | ignore | roll-out | before intent | a member pauses |
      | ignore | roll-out | before intent | a member flaps |
      | ignore | roll-out | before intent | the holder pauses |
      | ignore | roll-out | before intent | the holder dies |
      | ignore | roll-out | before intent | the platform goes down |
      | ignore | roll-out | before intent | the answer is lost |
      | ignore | roll-out | before intent | the orders are lost |
      | ignore | roll-out | before intent | a domain stops responding |
      | ignore | roll-out | before intent | the document changes |
      | ignore | roll-out | after intent | a member dies |
      | ignore | roll-out | after intent | a member pauses |
      | ignore | roll-out | after intent | a member flaps |
      | ignore | roll-out | after intent | the holder pauses |
      | ignore | roll-out | after intent | the holder dies |
      | ignore | roll-out | after intent | the platform goes down |
      | ignore | roll-out | after intent | the answer is lost |
      | ignore | roll-out | after intent | the orders are lost |
      | ignore | roll-out | after intent | a domain stops responding |
      | ignore | roll-out | after intent | the document changes |
      | ignore | roll-out | first order | a member dies |
      | ignore | roll-out | first order | a member pauses |
      | ignore | roll-out | first order | a member flaps |
      | ignore | roll-out | first order | the holder pauses |
      | ignore | roll-out | first order | the holder dies |
      | ignore | roll-out | first order | the platform goes down |
      | ignore | roll-out | first order | the answer is lost |
      | ignore | roll-out | first order | the orders are lost |
      | ignore | roll-out | first order | a domain stops responding |
      | ignore | roll-out | first order | the document changes |
      | ignore | roll-out | all ordered | a member dies |
      | ignore | roll-out | all ordered | a member pauses |
      | ignore | roll-out | all ordered | a member flaps |
      | ignore | roll-out | all ordered | the holder pauses |
      | ignore | roll-out | all ordered | the holder dies |
      | ignore | roll-out | all ordered | the platform goes down |
      | ignore | roll-out | all ordered | the answer is lost |
      | ignore | roll-out | all ordered | the orders are lost |
      | ignore | roll-out | all ordered | a domain stops responding |
      | ignore | roll-out | all ordered | the document changes |
