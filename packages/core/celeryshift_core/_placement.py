"""Placement: which waiting task starts next, and on which worker."""

from typing import Protocol

from celeryshift_core import _config
from celeryshift_core import _launch
from celeryshift_core import _ledger
from celeryshift_core import _limits
from celeryshift_core import _once
from celeryshift_core import _queue
from celeryshift_core import _rights
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks

PACKED = 4
WIDEST = 4
RACKS = 8
MAX_HINTS = 32
SEARCH_AGAIN_S = 1.0


class Placer(Protocol):
    """Look for workers with room for a task of one policy, and rank them."""

    def find(
        self, held: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List a bounded number of workers that have room."""

    def rank(
        self, held: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank a worker with room; the lowest is taken."""


class Packing:
    """Fill workers one after another, so that large tasks find room.

    Source: Johnson, Near-optimal bin packing algorithms, 1973 (first fit);
    the tightest is taken among the workers that come first.
    """

    def find(
        self, held: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List the workers that are filled first."""
        return held.ledger.packed(task.upstream, size, PACKED)

    def rank(
        self, held: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by the room that is left, accelerators first."""
        capacity, used = worker.capacity, worker.used
        return (
            capacity.accelerators - used.accelerators,
            capacity.slots - used.slots,
        )


class Widening:
    """Use the emptiest worker, so that waiting stays short."""

    def find(
        self, held: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List the workers with the most free slots."""
        return held.ledger.widest(task.upstream, size, WIDEST)

    def rank(
        self, held: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by free slots, the most first."""
        return worker.used.slots - worker.capacity.slots, 0


class Spreading:
    """Spread the tasks of a job over racks, so that a rack may fail."""

    def find(
        self, held: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List workers from a number of racks, other ones for each task."""
        ledger = held.ledger
        found = ledger.by_rack(task.upstream, size, task.index, RACKS)
        return found or ledger.widest(task.upstream, size, WIDEST)

    def rank(
        self, held: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by the tasks of the job in the rack, then by free slots."""
        racks = held.ledger.tasks_by_rack(task.job)
        return racks[worker.rack], worker.used.slots - worker.capacity.slots


PLACERS_BY_POLICY: dict[_config.Policy, Placer] = {
    _config.Policy.REQUEST: Widening(),
    _config.Policy.BATCH: Packing(),
    _config.Policy.GANG: Packing(),
    _config.Policy.SERVICE: Spreading(),
}


def pump_touched(state: _state.State, out: _state.Out) -> None:
    """Start what can start on each slice that an event has touched."""
    while state.touched:
        number, _ = state.touched.popitem()
        held = state.slices_by_number.get(number)
        if held is not None:
            pump(state, held, out)


def pump(state: _state.State, held: _state.Slice, out: _state.Out) -> None:
    """Start waiting tasks as long as any of those next in line has room."""
    if not _may_place(state, held):
        return
    _reopen(state, held)
    for urgent in (True, False):
        skipped: set[_queue.TeamKind] = set()
        head = held.queue.next(urgent, skipped)
        while head is not None:
            _start(state, held, head, skipped, out)
            head = held.queue.next(urgent, skipped)


def _reopen(state: _state.State, held: _state.Slice) -> None:
    """Look again at waiting work that may fit where room has come up."""
    for upstream, room_by_worker in held.ledger.take_grown().items():
        if len(room_by_worker) > MAX_HINTS:
            held.queue.reopen_all(upstream)
        else:
            held.queue.reopen(upstream, room_by_worker, state.now)


def _may_place(state: _state.State, held: _state.Slice) -> bool:
    return (
        held.queue.length > 0
        and held.phase is not _state.SlicePhase.RELEASING
        and _rights.holds(state)
    )


def _start(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    skipped: set[_queue.TeamKind],
    out: _state.Out,
) -> None:
    """Start the task that is next in a line, or pass over it."""
    kind = state.config.kinds.get(task.kind)
    why = _why_not(state, held, task, kind)
    if kind is None or why:
        skipped.add((task.team, task.kind))
        task.note(state.now, 'waits', why)
        return
    worker = _choose(state, held, task, kind)
    if worker is None:
        held.queue.close(task)
        task.note(state.now, 'waits', 'no worker examined has room')
        return
    held.queue.pop(task)
    _book(state, held, task, kind, worker, out)


def _why_not(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind | None,
) -> str:
    if kind is None:
        return 'kind is not configured'
    if not state.config.takes_work(task.upstream):
        return 'upstream is leaving'
    if not _limits.may_start(state, held, task):
        return 'team is at its upper limit'
    return ''


def _book(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    _launch.book(state, held, task, worker, task.size)
    task.state = _tasks.TaskState.STARTING
    state.counters['placements'] += 1
    if kind.repeatable:
        _launch.send(state, held, task, out)
    else:
        _once.claim(state, held, task, out)


def _choose(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
) -> _ledger.Worker | None:
    """Choose a worker with room, one that has not failed the task if any."""
    placer = PLACERS_BY_POLICY[kind.policy]
    hints = held.queue.hints(task)
    if hints is None:
        found = placer.find(held, task, task.size)
        gave_up = not found and held.ledger.gave_up(task.upstream)
        again_at = state.now + SEARCH_AGAIN_S if gave_up else None
        held.queue.search_again(task, again_at)
    else:
        found = list(held.ledger.fitting(hints, task.size))
    if task.failed_on:
        fresh = [
            worker for worker in found if worker.name not in task.failed_on
        ]
        found = fresh or found
    return min(
        found,
        key=lambda worker: placer.rank(held, task, worker),
        default=None,
    )
