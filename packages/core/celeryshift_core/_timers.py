"""Timers that the reducer sets for itself, by typed key."""

from collections.abc import Hashable
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedList


@attrs.frozen(slots=True)
class SliceTimer:
    """Concern a slice that is owned under an epoch."""

    slice: int
    epoch: int


@attrs.frozen(slots=True)
class WorkerTimer(SliceTimer):
    """Concern a worker of a slice."""

    worker: str


@attrs.frozen(slots=True)
class RenewNode:
    """Renew the registration of this node."""


@attrs.frozen(slots=True)
class PollVms:
    """Ask for the VM list."""


@attrs.frozen(slots=True)
class PollConfig:
    """Read the configuration."""


@attrs.frozen(slots=True)
class PollNodes:
    """Read the nodes of every data centre."""


@attrs.frozen(slots=True)
class SendSummaries:
    """Tell the peers what this node has."""


@attrs.frozen(slots=True)
class FlushRecords:
    """Write the jobs that wait to be accepted."""


@attrs.frozen(slots=True)
class RecordJobs:
    """Write the jobs that have changed."""


@attrs.frozen(slots=True)
class SettleWrite:
    """Find out whether a write took effect."""

    op_id: str


@attrs.frozen(slots=True)
class SyncDue(WorkerTimer):
    """Ask a worker again."""


@attrs.frozen(slots=True)
class TaskLeasesEnd(WorkerTimer):
    """Take the tasks of a silent worker as ended."""


@attrs.frozen(slots=True)
class RecoveryEnds(SliceTimer):
    """Take every task of a former owner that was not seen as ended."""


@attrs.frozen(slots=True)
class BookingEnds(WorkerTimer):
    """Free the room of a task whose end was not seen."""

    task: str


@attrs.frozen(slots=True)
class RequeueTask(SliceTimer):
    """Queue a task again whose claim could not be written."""

    task: str


@attrs.frozen(slots=True)
class GangDue:
    """End the time for which a gang reserves room, or its pause."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class QuarantineEnds(WorkerTimer):
    """Put a worker on probation."""


@attrs.frozen(slots=True)
class JobHoldEnds:
    """Try a job again that was held."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class EarmarkEnds(WorkerTimer):
    """Save a worker for one task no more."""


@attrs.frozen(slots=True)
class ContinueCancel:
    """Go on with the cancellation of a job."""

    slice: int
    epoch: int
    job: str


@attrs.frozen(slots=True)
class PlaceDue(SliceTimer):
    """Go on with placements that were left for another event."""


@attrs.frozen(slots=True)
class SearchDue(SliceTimer):
    """Search for room again that an earlier search may have missed."""


@attrs.frozen(slots=True)
class StopDue(WorkerTimer):
    """Stop a run again whose stop may not have arrived."""

    run: str


@attrs.frozen(slots=True)
class RequestDue:
    """Refuse a request that still waits at its deadline."""

    id: str


@attrs.frozen(slots=True)
class CheckDue:
    """Refuse a request without knowing whether it is claimed."""

    request: str


@attrs.frozen(slots=True)
class ReplyDue:
    """Reply to a caller whose write is still not settled."""

    reply_id: str


@attrs.frozen(slots=True)
class BackoffEnds(WorkerTimer):
    """Ask a worker again that refused work."""


@attrs.frozen(slots=True)
class SendWithdrawals:
    """Tell the peers which keys were withdrawn."""


@attrs.frozen(slots=True)
class WriteWithdrawals:
    """Write the withdrawals that the store has not yet."""


@attrs.frozen(slots=True)
class WithdrawalReplyDue:
    """Tell an operator how far a withdrawal has got."""

    reply_id: str


@attrs.frozen(slots=True)
class ConfigReplyDue:
    """Tell an operator that a hand-in is still not settled."""

    reply_id: str


@attrs.frozen(slots=True)
class SendUsage:
    """Tell the peers what the teams use."""


@attrs.frozen(slots=True)
class ReviewAllotments:
    """Look at which allotments lie idle."""


@attrs.frozen(slots=True)
class MoveAllotments:
    """Move the allotments that have to move."""


@attrs.frozen(slots=True)
class MoveJobs:
    """Move jobs to slices with room."""


@attrs.frozen(slots=True)
class PollArrivals:
    """Look for jobs that were moved here."""


@attrs.frozen(slots=True)
class InheritedEnds(SliceTimer):
    """Take whatever an earlier owner left unseen as ended."""


class Timers:
    """Keep the times at which keys fall due."""

    def __init__(self) -> None:
        self._at_by_key: dict[Hashable, tuple[float, int]] = {}
        self._due: SortedList = SortedList(key=_due_order)
        self._count = 0

    def __len__(self) -> int:
        return len(self._at_by_key)

    @property
    def next_at(self) -> float | None:
        """Give the time at which the next key falls due."""
        return self._due[0][0] if self._due else None

    def at(self, key: Hashable) -> float | None:
        """Give the time at which a key falls due, if it is set."""
        entry = self._at_by_key.get(key)
        return entry[0] if entry else None

    def set(self, key: Hashable, at: float) -> None:
        """Let a key fall due at a time, and at no other."""
        self.cancel(key)
        self._count += 1
        self._at_by_key[key] = (at, self._count)
        self._due.add((at, self._count, key))

    def set_once(self, key: Hashable, at: float) -> None:
        """Let a key fall due at a time, unless it is set already."""
        if key not in self._at_by_key:
            self.set(key, at)

    def cancel(self, key: Hashable) -> None:
        """Forget a key."""
        entry = self._at_by_key.pop(key, None)
        if entry is not None:
            self._due.remove((*entry, key))

    def pop_due(self, now: float) -> Iterator[Hashable]:
        """Yield the keys that have fallen due, earliest first."""
        while self._due and self._due[0][0] <= now:
            _, _, key = self._due.pop(0)
            del self._at_by_key[key]
            yield key


def _due_order(entry: tuple[float, int, Hashable]) -> tuple[float, int]:
    return entry[:2]
