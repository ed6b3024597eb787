"""State of workers, with their free capacity, and of their data centres.

What one worker or data centre consists of belongs here, and whether a worker
can be used for a task. Unless noted otherwise, times are in seconds of the
monotonic clock.
"""

from typing import TYPE_CHECKING

import attrs

from celeryshift_cell import _capacity
from celeryshift_cell import _histograms
from celeryshift_cell import _usage
from celeryshift_cell import model

if TYPE_CHECKING:
    from celeryshift_cell import _job_state

# A worker lists 500 completions at a time. One that keeps more than these gets
# no further tasks, since the newest ones would not be listed.
MAX_WITHHELD = 300


@attrs.define(slots=True, eq=False)
class Worker:
    """State of one incarnation of a worker."""

    entry: model.WorkerEntry
    # Free capacity, in millicores, MB and accelerators.
    free_cpu: int
    free_memory: int
    free_accelerators: int
    # Largest amount of each resource that this owner has known it to have.
    largest_capacity: model.Size
    # Position in the order in which worker ids were added.
    number: int = 0
    # Index that has the worker, if any, and its free cores as indexed.
    index: _capacity.FreeCapacity | None = None
    indexed_cpu: int = 0
    # Has accepted this owner's epoch and so rejects former owners' orders.
    is_fenced: bool = False
    # The worker is in the list of workers.
    is_listed: bool = True
    # The store has a record of the worker, which tells the next owner of it.
    is_recorded: bool = False
    # When the entry was last read.
    listed_at: float = 0.0
    # An order or a poll got no response, and another poll is in flight.
    is_suspect: bool = False
    # That poll got no response either.
    is_silent: bool = False
    # Number of failed polls in a row that the owner's own lag explains.
    excused_polls: int = 0
    # Reported runs of unknown jobs, as (task name, run number). The jobs were
    # evicted or have not arrived yet, so the runs' size is unknown too.
    unknown_runs: set[tuple[str, int]] = attrs.field(factory=set)
    # Earliest time that the worker's clock may have shown when its last
    # response arrived.
    min_clock_ms: float = float('-inf')
    # When that response arrived, and its age when the lease was last extended.
    clock_read_at: float = 0.0
    lease_clock_age_s: float = 0.0
    # Numbers of the last completion processed and of the last one stored.
    last_completion: int = 0
    last_stored_completion: int = 0
    # The worker may not discard this completion, nor any after it; 0 if none.
    withheld_completion: int = 0
    # Latest time at which the last lease granted to the worker expires.
    lease_until: float = 0.0
    polls_in_flight: int = 0
    # When to poll next; None while no poll is scheduled.
    poll_at: float | None = 0.0
    # Runs that may be active on the worker, by (task name, run number).
    runs: dict[tuple[str, int], '_job_state.Run'] = attrs.field(factory=dict)
    # Only tasks of this job are started on the worker before a time.
    reserved_for: str = ''
    reserved_since: float = 0.0
    reserved_until: float = 0.0
    # The entry may be out of date, since the worker was silent; no task is
    # started before this time, unless the next entry is read before.
    entry_awaited_until: float = 0.0
    # No task is started on the worker before this time.
    quarantined_until: float = 0.0
    # The data centre of the worker is evacuated.
    is_evacuated: bool = False
    # Until when the worker is cold, and for how long it has been expected to
    # be since it became cold.
    cold_until: float = 0.0
    cold_s: float = 0.0
    # Ids of the jobs with failures on the worker since its last success.
    failed_jobs: set[str] = attrs.field(factory=set)
    # Millicores requested by fillers, which are not taken from ``free_cpu``.
    filler_cpu: int = 0
    # Run time of tasks on this worker relative to the average worker.
    slowness: float = 1.0
    # Mean ratio of run time to estimate on this worker.
    run_time_ratio: _usage.RunningMean = attrs.field(
        factory=_usage.RunningMean
    )
    speed: _histograms.WorkerSpeed = attrs.field(
        factory=_histograms.WorkerSpeed
    )

    @property
    def id(self) -> str:
        """Return the id of the worker."""
        return self.entry.id

    @property
    def record(self) -> tuple[int, str]:
        """Return what the store keeps of the worker."""
        return self.entry.incarnation, self.entry.address

    @property
    def storable_completion(self) -> int:
        """Return the last completion that the worker may discard."""
        if not self.withheld_completion:
            return self.last_completion
        return min(self.last_completion, self.withheld_completion - 1)

    @property
    def has_unstored(self) -> bool:
        """Return whether completions must be stored for the worker."""
        return self.storable_completion > self.last_stored_completion

    def is_usable(self, now: float) -> bool:
        """Return whether tasks may be started on the worker."""
        return (
            self.is_fenced
            and self.is_listed
            and self.is_recorded
            and not self.is_silent
            and not self.is_suspect
            and not self.unknown_runs
            and not self.entry.is_draining
            and not self.is_evacuated
            and self.quarantined_until <= now
            and self.entry_awaited_until <= now
            and self.last_completion - self.storable_completion < MAX_WITHHELD
        )

    def has_capacity(self, step: model.Step) -> bool:
        """Return whether the free capacity suffices for a task of a step."""
        size = step.size
        return (
            size.memory_mb <= self.free_memory
            and (step.is_filler or size.cpu_milli <= self.free_cpu)
            and size.accelerators <= self.free_accelerators
        )

    def allocate(self, step: model.Step, sign: int) -> None:
        """Allocate capacity for a task (sign 1) or free it (-1)."""
        if step.is_filler:
            self.filler_cpu += sign * step.size.cpu_milli
        else:
            self.free_cpu -= sign * step.size.cpu_milli
        self.free_memory -= sign * step.size.memory_mb
        self.free_accelerators -= sign * step.size.accelerators
        if self.index is not None:
            self.index.update(self)


@attrs.define(slots=True, eq=False)
class LostWorker:
    """Worker that is silent, and the tasks that have a loss on it."""

    address: str
    at: float
    tasks: list['_job_state.Task'] = attrs.field(factory=list)


@attrs.define(slots=True, eq=False)
class DataCentre:
    """Reachability of a data centre."""

    # Send time of the first start order since the last response, or None.
    unanswered_since: float | None = None
