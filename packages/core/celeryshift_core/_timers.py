"""Timers of the reducer, each with a typed key."""

from collections.abc import Hashable
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedList


@attrs.frozen(slots=True)
class SliceTimer:
    """Base class of the timers of a slice, which are valid for one epoch."""

    slice: int
    epoch: int


@attrs.frozen(slots=True)
class WorkerTimer(SliceTimer):
    """Base class of the timers of a worker of a slice."""

    worker: str


@attrs.frozen(slots=True)
class RenewNode:
    """Renew the registration of this node."""


@attrs.frozen(slots=True)
class PollVms:
    """Fetch the VM list."""


@attrs.frozen(slots=True)
class PollConfig:
    """Read the configuration."""


@attrs.frozen(slots=True)
class PollNodes:
    """Read the nodes of every data centre."""


@attrs.frozen(slots=True)
class SendSummaries:
    """Send summaries to the peers."""


@attrs.frozen(slots=True)
class FlushSubmissions:
    """Write the submitted jobs, which are then accepted."""


@attrs.frozen(slots=True)
class RecordJobs:
    """Write the jobs that have changed."""


@attrs.frozen(slots=True)
class SettleWrite:
    """Recover the outcome of a write."""

    op_id: str


@attrs.frozen(slots=True)
class SyncDue(WorkerTimer):
    """Sync a worker again."""


@attrs.frozen(slots=True)
class TaskLeasesEnd(WorkerTimer):
    """End the tasks of a silent worker, whose leases have expired."""


@attrs.frozen(slots=True)
class RecoveryEnds(SliceTimer):
    """End the recovery; unreported tasks of a former owner have ended."""


@attrs.frozen(slots=True)
class BookingEnds(WorkerTimer):
    """Remove the booking of a run whose completion was not reported."""

    run: str


@attrs.frozen(slots=True)
class RequeueTask(SliceTimer):
    """Requeue a task whose at-most-once claim could not be written."""

    task: str


@attrs.frozen(slots=True)
class GangDue:
    """End the reservation of a gang, or its pause."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class QuarantineEnds(WorkerTimer):
    """Put a worker on probation."""


@attrs.frozen(slots=True)
class JobHoldEnds:
    """Resume a job that was held."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class EarmarkEnds(WorkerTimer):
    """End the earmark of a worker."""


@attrs.frozen(slots=True)
class ContinueCancel:
    """Continue the cancellation of a job."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class PlaceDue(SliceTimer):
    """Continue placements that one event could not complete."""


@attrs.frozen(slots=True)
class SearchDue(SliceTimer):
    """Repeat a search for capacity that stopped before the end."""


@attrs.frozen(slots=True)
class StopDue(WorkerTimer):
    """Repeat the stop of a run, which may not have arrived."""

    run: str


@attrs.frozen(slots=True)
class RequestDue:
    """Route a queued request again, or refuse it at its deadline."""

    id: str


@attrs.frozen(slots=True)
class CheckDue:
    """Refuse a request although the read of its claim has not returned."""

    request: str


@attrs.frozen(slots=True)
class ReplyDue:
    """Reply to a caller although the outcome of the write is unknown."""

    reply_id: str


@attrs.frozen(slots=True)
class BackoffEnds(WorkerTimer):
    """End the backoff of a worker that refused work."""


@attrs.frozen(slots=True)
class SendWithdrawals:
    """Send withdrawals of keys to the peers."""


@attrs.frozen(slots=True)
class WriteWithdrawals:
    """Write the withdrawals that are not in the store yet."""


@attrs.frozen(slots=True)
class WithdrawalReplyDue:
    """Reply to an operator with the progress of a withdrawal."""

    reply_id: str


@attrs.frozen(slots=True)
class ConfigReplyDue:
    """Reply to an operator although the outcome is unknown."""

    reply_id: str


@attrs.frozen(slots=True)
class SendUsage:
    """Send the usage of the teams to the peers."""


@attrs.frozen(slots=True)
class ReviewAllotments:
    """Review which allotments are idle."""


@attrs.frozen(slots=True)
class MoveAllotments:
    """Return and draw slots of allotments."""


@attrs.frozen(slots=True)
class MoveJobs:
    """Move jobs to slices with free capacity."""


@attrs.frozen(slots=True)
class PollArrivals:
    """Read the jobs that were moved to this node."""


@attrs.frozen(slots=True)
class InheritedEnds(SliceTimer):
    """Clear inherited slots, whose tasks have ended."""


class Timers:
    """Ordered set of keys, each with the time at which it is due."""

    def __init__(self) -> None:
        self._at_by_key: dict[Hashable, tuple[float, int]] = {}
        self._due: SortedList = SortedList(key=_due_order)
        self._count = 0

    def __len__(self) -> int:
        return len(self._at_by_key)

    @property
    def next_at(self) -> float | None:
        """Return the time at which the next key is due."""
        return self._due[0][0] if self._due else None

    def at(self, key: Hashable) -> float | None:
        """Return the time at which a key is due, or None if it is not set."""
        entry = self._at_by_key.get(key)
        return entry[0] if entry else None

    def set(self, key: Hashable, at: float) -> None:
        """Set the time at which a key is due, and replace an earlier one."""
        self.cancel(key)
        self._count += 1
        self._at_by_key[key] = (at, self._count)
        self._due.add((at, self._count, key))

    def set_once(self, key: Hashable, at: float) -> None:
        """Set the time at which a key is due unless the key is set."""
        if key not in self._at_by_key:
            self.set(key, at)

    def cancel(self, key: Hashable) -> None:
        """Remove a key if it is set."""
        entry = self._at_by_key.pop(key, None)
        if entry is not None:
            self._due.remove((*entry, key))

    def pop_due(self, now: float) -> Iterator[Hashable]:
        """Remove and yield the keys that are due, the earliest first."""
        while self._due and self._due[0][0] <= now:
            _, _, key = self._due.pop(0)
            del self._at_by_key[key]
            yield key


def _due_order(entry: tuple[float, int, Hashable]) -> tuple[float, int]:
    return entry[:2]
