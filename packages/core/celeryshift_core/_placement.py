"""Placement: which waiting task starts next, and on which worker."""

from collections.abc import Iterable
from typing import Protocol

from celeryshift_core import _config
from celeryshift_core import _launch
from celeryshift_core import _ledger
from celeryshift_core import _limits
from celeryshift_core import _once
from celeryshift_core import _rights
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _waits

CANDIDATES = 8
BLOCKED_HEADS = 8


class Placer(Protocol):
    """Choose a worker for a task of one policy."""

    def choose(
        self, held: _state.Slice, task: _tasks.Task
    ) -> _ledger.Worker | None:
        """Give the worker to use, or None when none examined has room."""


class Packing:
    """Fill the fullest worker first, so that large tasks find room."""

    def choose(
        self, held: _state.Slice, task: _tasks.Task
    ) -> _ledger.Worker | None:
        """Give the worker with the fewest free slots that has room."""
        found = held.ledger.tightest(task.upstream, task.size, CANDIDATES)
        return _first(found, task)


class Spreading:
    """Use the emptiest worker first, so that waiting stays short."""

    def choose(
        self, held: _state.Slice, task: _tasks.Task
    ) -> _ledger.Worker | None:
        """Give the worker with the most free slots that has room."""
        found = held.ledger.widest(task.upstream, task.size, CANDIDATES)
        return _first(found, task)


PLACERS_BY_POLICY: dict[_config.Policy, Placer] = {
    _config.Policy.REQUEST: Spreading(),
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
    """Start waiting tasks as long as any of those next in line has room.

    Only those that found no worker with room count as blocked: a team at
    its limit does not stand in the way of others.
    """
    while _may_place(state, held) and _start_one(state, held, out):
        pass


def _may_place(state: _state.State, held: _state.Slice) -> bool:
    return (
        held.queue.length > 0
        and held.phase is not _state.SlicePhase.RELEASING
        and _rights.holds(state)
    )


def _start_one(
    state: _state.State, held: _state.Slice, out: _state.Out
) -> bool:
    blocked = 0
    for task in held.queue.heads():
        kind = state.config.kinds.get(task.kind)
        worker = None
        if kind is None:
            task.note(state.now, 'waits', 'kind is not configured')
        elif not state.config.takes_work(task.upstream):
            task.note(state.now, 'waits', 'upstream is leaving')
        elif not _limits.may_start(state, held, task):
            task.note(state.now, 'waits', 'team is at its upper limit')
        else:
            worker = PLACERS_BY_POLICY[kind.policy].choose(held, task)
            if worker is None:
                blocked += 1
                task.note(state.now, 'waits', 'no worker examined has room')
        if worker is not None and kind is not None:
            held.queue.pop(task)
            _book(state, held, task, kind, worker, out)
            return True
        if blocked == BLOCKED_HEADS:
            break
    return False


def _book(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    task.attempt += 1
    task.worker = worker.name
    task.state = _tasks.TaskState.STARTING
    hold = _ledger.Hold(task.team, task.size)
    held.ledger.hold(worker.name, task.run_id, hold)
    held.unconfirmed.add(task.run_id)
    _shares.charge(state, held, task.team, task.size)
    task.note(state.now, 'placed', f'attempt {task.attempt}')
    state.counters['placements'] += 1
    _waits.note(state, task)
    if kind.repeatable:
        _launch.send(state, held, task, out)
    else:
        _once.claim(state, held, task, out)


def _first(
    found: Iterable[_ledger.Worker], task: _tasks.Task
) -> _ledger.Worker | None:
    """Give the first worker that has not failed the task, if any has not."""
    last = None
    for worker in found:
        if worker.name not in task.failed_on:
            return worker
        last = worker
    return last
