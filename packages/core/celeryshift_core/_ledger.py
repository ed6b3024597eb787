"""The ledger of a slice: what each of its workers holds."""

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedList

from celeryshift_core import _errors
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class Hold:
    """Say for whom room is taken, and how much."""

    team: str
    size: _size.Size


@attrs.define(eq=False)
class Worker:
    """Hold what the owner of a worker knows of it."""

    name: str
    address: str
    rack: str
    upstream: str
    capacity: _size.Size
    state: events.VmState = events.VmState.LIVE
    answered: bool = False
    listed: bool = True
    quarantined: bool = False
    resting: bool = False
    refusals: int = 0
    cursor: str = ''
    syncing: bool = False
    silent_since: float | None = None
    used: _size.Size = _size.ZERO
    holds_by_run: dict[str, Hold] = attrs.field(factory=dict)
    foreign: set[str] = attrs.field(factory=set)
    to_acknowledge: set[str] = attrs.field(factory=set)

    @property
    def free(self) -> _size.Size:
        """Give the room that is not booked."""
        return self.capacity - self.used

    @property
    def usable(self) -> bool:
        """Tell whether new work may be placed here."""
        return (
            self.answered
            and self.listed
            and self.silent_since is None
            and not self.quarantined
            and not self.resting
            and self.state is events.VmState.LIVE
        )


class Ledger:
    """Book tasks on workers and find those with room.

    Usable workers are indexed by upstream and free slots, so that a search
    looks at a bounded number of them whatever the size of the slice.
    """

    def __init__(self) -> None:
        self.workers_by_name: dict[str, Worker] = {}
        self._index_by_upstream: dict[str, SortedList] = {}
        self._slots_by_name: dict[str, int] = {}
        self._free_by_upstream: dict[str, int] = {}
        self._capacity_by_upstream: dict[str, int] = {}
        self._staying_by_upstream: dict[str, set[str]] = {}
        self.capacity = _size.ZERO
        self.examined = 0

    def add(self, worker: Worker) -> None:
        """Take in a worker."""
        self.workers_by_name[worker.name] = worker
        self.capacity += worker.capacity
        self._count_capacity(worker.upstream, worker.capacity.slots)
        self.refresh(worker)

    def resize(self, worker: Worker, capacity: _size.Size) -> None:
        """Note that a worker offers more or less than before."""
        grown = capacity.slots - worker.capacity.slots
        self._count_capacity(worker.upstream, grown)
        self.capacity += capacity - worker.capacity
        worker.capacity = capacity
        self.refresh(worker)

    def remove(self, name: str) -> Worker:
        """Forget a worker and what it holds."""
        worker = self.workers_by_name.pop(name)
        self._unindex(worker)
        self._note_staying(worker, False)
        self.capacity -= worker.capacity
        self._count_capacity(worker.upstream, -worker.capacity.slots)
        return worker

    def refresh(self, worker: Worker) -> None:
        """Index a worker anew after a change of its state or room."""
        self._unindex(worker)
        self._note_staying(worker, worker.state is events.VmState.LIVE)
        if worker.usable and worker.name in self.workers_by_name:
            slots = worker.free.slots
            index = self._index_by_upstream.setdefault(
                worker.upstream, SortedList()
            )
            index.add((slots, worker.name))
            self._slots_by_name[worker.name] = slots
            self._count(worker.upstream, slots)

    def hold(self, name: str, run_id: str, hold: Hold) -> None:
        """Book a task on a worker.

        Raises OverCommitError when the worker has no room for it.
        """
        worker = self.workers_by_name[name]
        if not hold.size.fits(worker.free):
            raise _errors.OverCommitError(
                f'{run_id} of {hold.size} does not fit {worker.free} of {name}'
            )
        self.adopt(name, run_id, hold)

    def adopt(self, name: str, run_id: str, hold: Hold) -> bool:
        """Book a task that a worker runs already; tell whether it is new."""
        worker = self.workers_by_name[name]
        if run_id in worker.holds_by_run:
            return False
        worker.holds_by_run[run_id] = hold
        worker.used += hold.size
        self.refresh(worker)
        return True

    def release(self, name: str, run_id: str) -> Hold | None:
        """Free the room of a task; give what was booked, if anything."""
        worker = self.workers_by_name.get(name)
        if worker is None or run_id not in worker.holds_by_run:
            return None
        hold = worker.holds_by_run.pop(run_id)
        worker.used -= hold.size
        worker.foreign.discard(run_id)
        self.refresh(worker)
        return hold

    def tightest(
        self, upstream: str, size: _size.Size, most: int
    ) -> Iterator[Worker]:
        """Yield workers with room, those with the fewest free slots first.

        Looks at the given number of workers at most.
        """
        index = self._index_by_upstream.get(upstream)
        if not index:
            return
        start = index.bisect_left((size.slots, ''))
        for _, name in index.islice(start, start + most):
            self.examined += 1
            worker = self.workers_by_name[name]
            if size.fits(worker.free):
                yield worker

    def widest(
        self, upstream: str, size: _size.Size, most: int
    ) -> Iterator[Worker]:
        """Yield workers with room, those with the most free slots first.

        Looks at the given number of workers at most.
        """
        index = self._index_by_upstream.get(upstream)
        if not index:
            return
        start = max(0, len(index) - most)
        for slots, name in index.islice(start, len(index), reverse=True):
            self.examined += 1
            worker = self.workers_by_name[name]
            if slots >= size.slots and size.fits(worker.free):
                yield worker

    def free_slots(self, upstream: str) -> int:
        """Give the free slots of the usable workers of an upstream."""
        return self._free_by_upstream.get(upstream, 0)

    def capacity_slots(self, upstream: str) -> int:
        """Give the slots of the workers of an upstream, booked or free."""
        return self._capacity_by_upstream.get(upstream, 0)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Name the upstreams that have workers here which are to stay."""
        return tuple(self._staying_by_upstream)

    def _note_staying(self, worker: Worker, stays: bool) -> None:
        names = self._staying_by_upstream.setdefault(worker.upstream, set())
        (names.add if stays else names.discard)(worker.name)
        if not names:
            del self._staying_by_upstream[worker.upstream]

    def _unindex(self, worker: Worker) -> None:
        slots = self._slots_by_name.pop(worker.name, None)
        if slots is not None:
            index = self._index_by_upstream[worker.upstream]
            index.remove((slots, worker.name))
            self._count(worker.upstream, -slots)

    def _count(self, upstream: str, slots: int) -> None:
        before = self._free_by_upstream.get(upstream, 0)
        self._free_by_upstream[upstream] = before + slots

    def _count_capacity(self, upstream: str, slots: int) -> None:
        before = self._capacity_by_upstream.get(upstream, 0)
        self._capacity_by_upstream[upstream] = before + slots
