"""Time limits and weights of a cell."""

import attrs

from celeryshift_cell import effects


@attrs.frozen(slots=True)
class Options:
    """Options of a cell that a deployment may set."""

    # Lease of a worker. It must outlast a restart of all nodes, which takes
    # some two seconds, and is otherwise short, since the runs of a silent
    # worker can be restarted only after it expires. Workers may grant less.
    lease_s: float = 4.0
    # Longest lease that a worker grants, whatever the deadline of an order.
    max_lease_s: float = 6.0
    # Leases are measured on the worker's clock, which may be slow by up to
    # this fraction.
    clock_drift: float = 0.02
    # Age of the last reading of a worker's clock at which the worker is polled
    # even if it is idle. Leases may be shorter by ``clock_drift`` of that age.
    clock_refresh_s: float = 30.0
    # Share of the workers that are polled for this reason at a time.
    clock_refresh_share: float = 0.01
    # Interval at which workers publish their entries.
    report_interval_s: float = 1.5
    # How long a poll waits for a completion. If its response is lost, all
    # completions of that period are reported late. If the owner dies, the
    # workers' leases may have been extended that long ago, and so expire that
    # much earlier.
    poll_wait_ms: int = 800
    # The same for workers with fillers, whose interference must be detected
    # within a second.
    filler_poll_wait_ms: int = 400
    # Ratios of tail latency to target: above the high one, fillers are
    # throttled further; below the low one, their pace is raised.
    latency_ratio_high: float = 0.8
    latency_ratio_low: float = 0.55
    # Percentage points by which the pace is raised at a time.
    pace_step: int = 15
    # A filler that was throttled to a standstill is moved after this time.
    filler_stall_s: float = 2.0
    # Time needed to stop and restart a task before its worker leaves.
    drain_margin_s: float = 1.2
    # Pause before a worker that did not answer is polled again.
    poll_retry_s: float = 0.4
    # The pause is longer while so many workers are silent that their polls
    # would exceed this rate and delay those of the others.
    silent_polls_per_s: float = 250.0
    # Interval of polls while completions could not be stored yet.
    unsaved_poll_s: float = 0.4
    # Pause before a stop order that got no response is repeated.
    stop_retry_s: float = 0.4
    # Pause before a failed save is repeated.
    save_retry_s: float = 0.3
    # Interval at which blocked steps are tried again, since tickets and
    # quarantines expire without an event.
    recheck_s: float = 0.25
    # A ticket is not used this close to its expiry, since the order needs time
    # to arrive.
    ticket_margin_s: float = 0.15
    # Maximum number of workers in a query to the policy service, and how many
    # are enough: each one makes the answer later.
    max_queried_workers: int = 100
    min_queried_workers: int = 30
    queried_workers_per_task: int = 4
    # Pause before a failed query is repeated through another node.
    query_retry_s: float = 0.05
    # Maximum number of workers in a query that is expected to take long; it
    # names those with the most free capacity.
    long_query_workers: int = 40
    # A worker is quarantined after failures of this many jobs in a row.
    quarantine_failures: int = 3
    quarantine_s: float = 4.0
    # A task that allows copies gets one if it has run for longer than the
    # expected time multiplied by the factor, plus the constant.
    straggler_factor: float = 2.0
    straggler_s: float = 0.3
    # Once half of the step is done, this factor applies instead and to the
    # longest run time among the completed tasks of the step.
    sibling_factor: float = 1.4
    # How long a new owner waits for the reports of workers before it starts
    # copies of tasks that they may be running.
    copy_grace_s: float = 0.4
    # Share by which in-doubt runs may exceed the limit of their team after a
    # change of owner. Deployments that allow no overage set 0.
    in_doubt_overage: float = 0.0
    # Weight of the mean run-time ratio of a worker's kind, as a number of
    # samples of the worker itself.
    kind_samples: float = 4.0
    # Tasks avoid workers that are slower than average by this factor.
    slow_factor: float = 1.8
    # Workers whose run times differ by less than this factor count as equally
    # fast.
    similar_factor: float = 1.12
    # Reject jobs that would end too late; see ``_admission``.
    rejects_late_jobs: bool = True
    # Burst of a team beyond its jobs per second: seconds of its weight, and a
    # number of jobs.
    share_window_s: float = 2.0
    share_slack: float = 0.0
    # Cores of the owner, which bound the orders that it can follow.
    cores: float = 4.0
    # Maximum number of starts that have been ordered and not answered.
    max_starts_in_flight: int = 256
    # Lag of the owner's event loop from which on a silence is its own.
    blamed_lag_s: float = 0.1
    # Number of polls in a row that may fail because of the owner's own lag.
    excused_polls: int = 2
    # Orders time out later by a multiple of the lag, and by this at most.
    lag_slack_factor: float = 3.0
    max_slack_s: float = 0.5
    # The next poll of a worker is delayed by a multiple of the lag, so that
    # one answer reports several completions, and by this at most.
    poll_delay_factor: float = 3.0
    max_poll_delay_s: float = 0.3
    # Learn which images slow down others on the same worker, and keep them
    # apart where there is a choice.
    learn_interference: bool = True
    # Size of the rows that store the progress of a job.
    record_part_bytes: int = effects.RECORD_PART_BYTES
    # How long an ended job is kept in memory; later requests for it are
    # answered from the store.
    keep_ended_s: float = 10.0
    # How long the id of an ended job is remembered, in case the job arrives
    # again.
    remember_ended_s: float = 600.0
