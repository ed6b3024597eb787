"""Ledger of a slice: the capacity booked on each of its workers."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import math

import attrs

from celeryshift_core import _capacity_index
from celeryshift_core import _errors
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class Booking:
    """Capacity booked for a run, and the team and job it is for."""

    team: str
    size: _size.Size
    job: str = ''
    urgent: bool = False


@attrs.define(eq=False)
class Worker:
    """Worker, as the owner of its slice knows it.

    `answered` is set once the worker has reported its tasks. `announced` is
    set once the registration of this node covers the VM revision of the
    worker. On probation, after a quarantine, it gets one task at a time.
    Foreign runs are those that this owner did not start. `listable_runs` had
    been confirmed when the latest sync was sent, so that a complete list in
    its answer has them unless they have ended; `unlisted_runs` were missing
    from such a list, which may have been made before their start. A sync may
    renew the leases of its tasks until `renewed_until`. It was last heard of
    at `heard_at`. At `broke_at` it was last found to be silent or restarted;
    before that, it was heard of at `heard_before_break`. No other work starts
    there while `trial_run` is on trial.
    """

    name: str
    address: str
    rack: str
    upstream: str
    capacity: _size.Size
    state: events.VmState = events.VmState.LIVE
    answered: bool = False
    announced: bool = True
    quarantined: bool = False
    quarantines: int = 0
    probation: bool = False
    earmarked_for: str = ''
    failed_kind_by_job: dict[str, str] = attrs.field(factory=dict)
    backing_off: bool = False
    refusals: int = 0
    cursor: str = ''
    syncing: bool = False
    silent_since: float | None = None
    renewed_until: float = 0.0
    heard_at: float = -math.inf
    broke_at: float = -math.inf
    heard_before_break: float = -math.inf
    trial_run: str = ''
    used: _size.Size = _size.ZERO
    bookings_by_run: dict[str, Booking] = attrs.field(factory=dict)
    foreign_runs: set[str] = attrs.field(factory=set)
    listable_runs: frozenset[str] = frozenset()
    unlisted_runs: set[str] = attrs.field(factory=set)
    to_acknowledge: set[str] = attrs.field(factory=set)

    @property
    def free(self) -> _size.Size:
        """Return the capacity that is not booked."""
        return self.capacity - self.used

    @property
    def usable(self) -> bool:
        """Return whether new work may be placed on the worker."""
        return (
            self.answered
            and self.announced
            and self.silent_since is None
            and not self.quarantined
            and not (self.probation and self.bookings_by_run)
            and not self.trial_run
            and not self.backing_off
            and self.state is events.VmState.LIVE
        )


class Ledger:
    """Bookings of tasks on workers, and search for free capacity.

    Usable workers are indexed by upstream and free capacity, so that a search
    examines a bounded number of them whatever the size of the slice.
    """

    def __init__(self) -> None:
        self.workers_by_name: dict[str, Worker] = {}
        self._index_by_upstream: dict[str, _capacity_index.CapacityIndex] = {}
        self._free_slots_by_name: dict[str, int] = {}
        self._free_slots_by_upstream: dict[str, int] = {}
        self._capacity_slots_by_upstream: dict[str, int] = {}
        self._live_by_upstream: dict[str, set[str]] = {}
        self.capacity = _size.ZERO
        self._racks_by_job: dict[str, collections.Counter[str]] = {}
        self._grown_by_upstream: dict[str, dict[str, None]] = {}

    @property
    def examined(self) -> int:
        """Return the count of workers and index nodes examined so far."""
        indices = self._index_by_upstream.values()
        return sum(index.examined for index in indices)

    def add(self, worker: Worker) -> None:
        """Add a worker."""
        self.workers_by_name[worker.name] = worker
        self.capacity += worker.capacity
        index = self._index_by_upstream.get(worker.upstream)
        if index is None:
            index = self._index_by_upstream[worker.upstream] = (
                _capacity_index.CapacityIndex()
            )
        index.add(worker.name, worker.rack)
        self._count_capacity(worker.upstream, worker.capacity.slots)
        self.refresh(worker)

    def resize(self, worker: Worker, capacity: _size.Size) -> None:
        """Change the capacity of a worker."""
        grown = capacity.slots - worker.capacity.slots
        self._count_capacity(worker.upstream, grown)
        self.capacity += capacity - worker.capacity
        worker.capacity = capacity
        self.refresh(worker)

    def remove(self, name: str) -> Worker:
        """Remove a worker and its bookings."""
        worker = self.workers_by_name.pop(name)
        self._update_live(worker, False)
        self.capacity -= worker.capacity
        for booking in worker.bookings_by_run.values():
            self._count_rack(worker, booking, -1)
        self._index_by_upstream[worker.upstream].remove(name, worker.rack)
        self._count_free(worker, 0)
        self._count_capacity(worker.upstream, -worker.capacity.slots)
        return worker

    def refresh(self, worker: Worker) -> None:
        """Update the index after a change of a worker's state or bookings."""
        if worker.name not in self.workers_by_name:
            return
        self._update_live(worker, worker.state is events.VmState.LIVE)
        free_vector = _capacity_index.NO_CAPACITY
        slots = 0
        if worker.earmarked_for:
            grown = self._grown_by_upstream.setdefault(worker.upstream, {})
            grown[worker.name] = None
        elif worker.usable:
            capacity, used = worker.capacity, worker.used
            slots = capacity.slots - used.slots
            if slots > 0:
                # Every task needs a slot, so a worker without one is full.
                free_vector = (
                    slots,
                    capacity.cpu_milli - used.cpu_milli,
                    capacity.memory_mb - used.memory_mb,
                    capacity.accelerators - used.accelerators,
                )
        index = self._index_by_upstream[worker.upstream]
        if index.set(worker.name, free_vector):
            grown = self._grown_by_upstream.setdefault(worker.upstream, {})
            grown[worker.name] = None
        self._count_free(worker, slots)

    def pop_grown(self) -> dict[str, dict[str, _size.Size]]:
        """Return workers whose free capacity grew since the last call.

        Earmarked workers are included after any change of their state.
        """
        grown, self._grown_by_upstream = self._grown_by_upstream, {}
        return {
            upstream: {
                name: self.workers_by_name[name].free
                for name in names
                if name in self.workers_by_name
            }
            for upstream, names in grown.items()
        }

    def gave_up(self, upstream: str) -> bool:
        """Return whether the last search stopped before the end."""
        index = self._index_by_upstream.get(upstream)
        return index is not None and index.gave_up

    def book(self, name: str, run_id: str, booking: Booking) -> None:
        """Book a task on a worker.

        Raises OverCommitError if the worker lacks the free capacity.
        """
        worker = self.workers_by_name[name]
        if not booking.size.fits(worker.free):
            raise _errors.OverCommitError(
                f'{run_id} of {booking.size} does not fit '
                f'{worker.free} of {name}'
            )
        self.adopt(name, run_id, booking)

    def adopt(self, name: str, run_id: str, booking: Booking) -> bool:
        """Book a task that already runs; return whether the booking is new."""
        worker = self.workers_by_name[name]
        if run_id in worker.bookings_by_run:
            return False
        worker.bookings_by_run[run_id] = booking
        worker.used += booking.size
        self._count_rack(worker, booking, 1)
        self.refresh(worker)
        return True

    def grow(self, name: str, run_id: str, size: _size.Size) -> _size.Size:
        """Raise the booking of a run to a size, even beyond the capacity.

        Returns the size added, which is zero for a run without a booking.
        """
        worker = self.workers_by_name[name]
        booking = worker.bookings_by_run.get(run_id)
        if booking is None:
            return _size.ZERO
        added = booking.size.maximum(size) - booking.size
        if added != _size.ZERO:
            grown = attrs.evolve(booking, size=booking.size + added)
            worker.bookings_by_run[run_id] = grown
            worker.used += added
            self.refresh(worker)
        return added

    def release(self, name: str, run_id: str) -> Booking | None:
        """Remove the booking of a run and return it, or None."""
        worker = self.workers_by_name.get(name)
        if worker is None or run_id not in worker.bookings_by_run:
            return None
        booking = worker.bookings_by_run.pop(run_id)
        worker.used -= booking.size
        worker.foreign_runs.discard(run_id)
        worker.unlisted_runs.discard(run_id)
        if worker.trial_run == run_id:
            worker.trial_run = ''
        self._count_rack(worker, booking, -1)
        self.refresh(worker)
        return booking

    def first_fit(
        self, upstream: str, size: _size.Size, count: int
    ) -> list[Worker]:
        """Return the first workers with enough free capacity."""
        return self._search(upstream, size, count, False)

    def worst_fit(
        self, upstream: str, size: _size.Size, count: int
    ) -> list[Worker]:
        """Return workers with enough free capacity, the emptiest first."""
        return self._search(upstream, size, count, True)

    def by_rack(
        self, upstream: str, size: _size.Size, first: int, racks: int
    ) -> list[Worker]:
        """Return workers with enough free capacity in a range of racks."""
        index = self._index_by_upstream.get(upstream)
        found = index.by_rack(_to_vector(size), first, racks) if index else []
        return [self.workers_by_name[name] for name in found]

    def fitting(
        self, names: Iterable[str], size: _size.Size
    ) -> Iterator[Worker]:
        """Yield the usable ones of the named workers that have capacity.

        Earmarked workers are left out.
        """
        for name in names:
            worker = self.workers_by_name.get(name)
            if worker is None or worker.earmarked_for or not worker.usable:
                continue
            if size.fits(worker.free):
                yield worker

    def tasks_by_rack(self, job: str) -> collections.Counter[str]:
        """Return the counts of booked tasks of a job by rack."""
        return self._racks_by_job.get(job, collections.Counter())

    def free_slots(self, upstream: str) -> int:
        """Return the free slots of the usable workers of an upstream."""
        return self._free_slots_by_upstream.get(upstream, 0)

    def capacity_slots(self, upstream: str) -> int:
        """Return the slots of the workers of an upstream, booked or free."""
        return self._capacity_slots_by_upstream.get(upstream, 0)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that have live workers in this slice."""
        return tuple(self._live_by_upstream)

    def count_live(self, upstream: str) -> int:
        """Return the number of live workers of an upstream."""
        return len(self._live_by_upstream.get(upstream, ()))

    def _update_live(self, worker: Worker, is_live: bool) -> None:
        names = self._live_by_upstream.setdefault(worker.upstream, set())
        (names.add if is_live else names.discard)(worker.name)
        if not names:
            del self._live_by_upstream[worker.upstream]

    def _search(
        self, upstream: str, size: _size.Size, count: int, emptiest_first: bool
    ) -> list[Worker]:
        index = self._index_by_upstream.get(upstream)
        if index is None:
            return []
        names = index.search(_to_vector(size), count, emptiest_first)
        return [self.workers_by_name[name] for name in names]

    def _count_free(self, worker: Worker, slots: int) -> None:
        before = self._free_slots_by_name.get(worker.name, 0)
        self._free_slots_by_name[worker.name] = slots
        free = self._free_slots_by_upstream.get(worker.upstream, 0)
        self._free_slots_by_upstream[worker.upstream] = free + slots - before
        if worker.name not in self.workers_by_name:
            del self._free_slots_by_name[worker.name]

    def _count_rack(
        self, worker: Worker, booking: Booking, change: int
    ) -> None:
        if not booking.job:
            return
        racks = self._racks_by_job.get(booking.job)
        if racks is None:
            racks = self._racks_by_job[booking.job] = collections.Counter()
        racks[worker.rack] += change
        if racks[worker.rack] <= 0:
            del racks[worker.rack]
            if not racks:
                del self._racks_by_job[booking.job]

    def _count_capacity(self, upstream: str, slots: int) -> None:
        before = self._capacity_slots_by_upstream.get(upstream, 0)
        self._capacity_slots_by_upstream[upstream] = before + slots


def _to_vector(size: _size.Size) -> _capacity_index.ResourceVector:
    return size.slots, size.cpu_milli, size.memory_mb, size.accelerators
