"""The times and weights of a cell, each with its unit and its source."""

import attrs


@attrs.frozen(slots=True)
class Options:
    """Hold what a deployment may set."""

    # A lease outlives a restart of all nodes, which takes some two seconds,
    # and otherwise is short, since whatever a silent worker runs can start
    # elsewhere only after it. Workers may grant less.
    lease_s: float = 4.0
    # Lease time runs on the worker's clock, which may be so much slow.
    clock_drift: float = 0.02
    # How long a question to a worker waits for an end. A lost answer hides
    # the ends of so long, and a lease may be so old when the owner dies.
    hold_wait_ms: int = 800
    # The same beside fillers, whose harm is to be seen within a second.
    filler_wait_ms: int = 400
    # Tails of serving tasks as parts of their targets: fillers are slowed
    # above the one and sped up below the other.
    strain_high: float = 0.8
    strain_low: float = 0.55
    # The pace rises by so many percent at a time.
    pace_step: int = 15
    # A filler that stands still for so long is moved.
    filler_patience_s: float = 2.0
    # Time for a stop and a start before a worker leaves.
    leave_margin_s: float = 1.2
    # Pause before a worker that did not answer is asked again.
    hold_retry_s: float = 0.4
    # Pause between looks at ends that cannot be stored yet.
    unsaved_look_s: float = 0.4
    # Pause before an order to stop that got no answer is sent again.
    stop_retry_s: float = 0.4
    # Pause before records that were not stored are sent again.
    save_retry_s: float = 0.3
    # Waiting steps are looked at again so often, since tickets and
    # quarantines run out without an event.
    look_again_s: float = 0.25
    # A ticket is not used in the last part of its validity, since the order
    # needs time to arrive.
    ticket_margin_s: float = 0.15
    # A question about a step names at most so many workers.
    max_asked: int = 100
    # Pause before a question that failed is asked again, through another
    # node.
    advice_retry_s: float = 0.05
    # A long question names few workers: those with most room.
    long_question_workers: int = 40
    # Failures of so many jobs in a row, on one worker, make it suspect.
    quarantine_failures: int = 3
    quarantine_s: float = 4.0
    # A task that has run so many times as long as expected, and so much
    # longer, is started elsewhere as well, where copies are allowed.
    straggler_factor: float = 2.0
    straggler_s: float = 0.3
    # The same against the slowest of a step of which most is done.
    sibling_factor: float = 1.4
    # A new owner waits so long for the lists of workers before it starts
    # copies of what they may run.
    copy_grace_s: float = 0.4
    # What a team may only perhaps run, after a takeover, may go over its
    # limit by such a share. Deployments that allow none keep to 0.
    in_doubt_overage: float = 0.0
    # Samples that what is known of a worker's kind counts for, beside those
    # of the worker itself.
    kind_samples: float = 4.0
    # Workers this much slower than others are avoided by all work.
    slow_factor: float = 1.8
    # Workers whose times differ by less count as alike.
    alike_factor: float = 1.12
    # A job that has ended is answered from memory for so long, then from
    # the store.
    keep_ended_s: float = 10.0
    # That it has ended is remembered for so long, in case it is told of
    # again.
    remember_ended_s: float = 600.0
