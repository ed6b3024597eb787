"""The times and weights of a cell, each with its unit and its source."""

import attrs


@attrs.frozen(slots=True)
class Options:
    """Hold what a deployment may set."""

    # The longest lease that workers grant; from the platform's settings.
    lease_s: float = 6.0
    # Lease time runs on the worker's clock, which may be so much slow.
    clock_drift: float = 0.02
    # How long a question to a worker waits for an end; the platform's most.
    hold_wait_ms: int = 2000
    # Pause before a worker that did not answer is asked again.
    hold_retry_s: float = 0.4
    # Pause between looks at ends that cannot be stored yet.
    unsaved_look_s: float = 0.4
    # Pause before an order to stop that got no answer is sent again.
    stop_retry_s: float = 1.0
    # Pause before records that were not stored are sent again.
    save_retry_s: float = 0.3
    # A worker that has not answered for so long gets no new work.
    silent_s: float = 2.6
    # The members of a gang must be there within this time.
    gang_timeout_s: float = 3.0
    # A ticket is not used in the last part of its validity, since the order
    # needs time to arrive.
    ticket_margin_s: float = 0.15
    # A question about a step names at most so many workers.
    max_asked: int = 100
    # Pause before a question that failed is asked again.
    advice_retry_s: float = 0.3
    # A long question names few workers: those with most room.
    long_question_workers: int = 40
    # Failures of so many jobs in a row, on one worker, make it suspect.
    quarantine_failures: int = 3
    quarantine_s: float = 4.0
    # A task that stands still for so long is started elsewhere.
    stall_s: float = 3.0
    stall_factor: float = 2.0
    # Tasks slow down by this factor away from their data.
    remote_penalty: float = 1.5
    restore_ms: int = 600
    # A job that has ended is answered from memory for so long, then from
    # the store.
    keep_ended_s: float = 10.0
    # That it has ended is remembered for so long, in case it is told of
    # again.
    remember_ended_s: float = 600.0
