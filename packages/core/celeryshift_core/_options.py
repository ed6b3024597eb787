"""Options of a node: its address, timeouts, intervals and limits."""

import attrs

MAX_SYNC_WAIT_S = 10.0
MAX_SYNC_WAIT_LEASE_FRACTION = 2 / 3
# Time for which a call to a worker may be under way, without its long poll.
CALL_S = 2.0


@attrs.frozen(slots=True)
class Options:
    """Options that a node is started with; times are in seconds.

    `clock_margin` is the fraction by which the clocks of two nodes may differ
    in speed. `max_hops` limits how often a call is forwarded, and
    `max_waiting` the tasks that wait at a node.

    Summaries are sent every `heartbeat_s`, and after changes every `summary_s`
    at most; `far_` intervals are those for peers in other data centres.
    Submitted jobs are written after `flush_s`, changed ones after `record_s`.
    """

    address: str
    data_centre: str
    slices: int = 4
    node_lease_s: float = 4.0
    node_renew_s: float = 1.2
    clock_margin: float = 0.05
    task_lease_s: float = 15.0
    sync_wait_s: float = 4.0
    sync_retry_s: float = 0.5
    vm_poll_s: float = 2.0
    config_poll_s: float = 1.0
    config_stale_s: float = 15.0
    nodes_poll_s: float = 5.0
    summary_s: float = 0.25
    heartbeat_s: float = 1.0
    far_summary_s: float = 1.0
    far_heartbeat_s: float = 5.0
    flush_s: float = 0.05
    record_s: float = 0.5
    settle_s: float = 0.5
    reply_s: float = 5.0
    retry_after_s: float = 1.0
    max_hops: int = 2
    max_waiting: int = 60_000
    rows_per_write: int = 200

    @property
    def takeover_s(self) -> float:
        """Return the wait after which another node's lease has expired."""
        return self.node_lease_s * (1 + self.clock_margin)

    @property
    def far_heard_s(self) -> float:
        """Return how long a remote peer counts as live after a summary."""
        return 2 * self.far_heartbeat_s + self.far_summary_s

    @property
    def tasks_end_s(self) -> float:
        """Return the wait after which unrenewed task leases have expired."""
        return self.task_lease_s * (1 + self.clock_margin)

    @property
    def max_sync_wait_s(self) -> float:
        """Return the longest time for which a sync of any node waits."""
        longest = min(
            MAX_SYNC_WAIT_S, self.task_lease_s * MAX_SYNC_WAIT_LEASE_FRACTION
        )
        return max(longest, self.sync_wait_s)

    @property
    def inherited_tasks_end_s(self) -> float:
        """Return the wait after which the tasks of a former owner have ended.

        A sync that it sent at the end of its own lease renews the leases of
        the tasks as late as the end of its long poll.
        """
        return self.tasks_end_s + self.max_sync_wait_s + CALL_S
