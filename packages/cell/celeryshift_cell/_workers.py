"""Workers that come and go, and the questions that keep in touch."""

import attrs

from celeryshift_cell import _health
from celeryshift_cell import _leases
from celeryshift_cell import _progress
from celeryshift_cell import _runs
from celeryshift_cell import _sharing
from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# An idle worker is told within this time that its ends are stored.
IDLE_NOTE_S = 1.0


def listed(cell: _state.Cell, event: events.WorkersChanged) -> None:
    """Take over what the list of workers says."""
    for entry in event.entries:
        worker = cell.workers.get(entry.id)
        if worker is not None and worker.entry.life > entry.life:
            continue
        if worker is None or worker.entry.life != entry.life:
            _join(cell, entry, worker)
        else:
            _update(cell, worker, entry)
    for worker_id in event.removed:
        worker = cell.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            cell.note('worker_left', worker=worker_id, runs=len(worker.runs))


def _join(
    cell: _state.Cell,
    entry: model.WorkerEntry,
    before: _state.Worker | None,
) -> None:
    if before is not None:
        _runs.lost(cell, before, 'worker restarted')
    worker = add(cell, entry)
    if before is not None:
        _runs.carry_over(cell, before, worker)
    cell.note(
        'worker_joined',
        worker=entry.id,
        life=entry.life,
        upstream=entry.upstream,
        address=entry.address,
    )
    _ask(cell, worker, 0)


def add(cell: _state.Cell, entry: model.WorkerEntry) -> _state.Worker:
    """Keep a worker, of which nothing is known to run."""
    capacity = entry.capacity
    worker = _state.Worker(
        entry,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.accelerators,
        listed_at=cell.now,
    )
    cell.workers[entry.id] = worker
    cell.workers_version += 1
    return worker


def _update(
    cell: _state.Cell, worker: _state.Worker, entry: model.WorkerEntry
) -> None:
    known = worker.entry
    capacity = entry.capacity
    worker.free_cpu += capacity.cpu_milli - known.capacity.cpu_milli
    worker.free_memory += capacity.memory_mb - known.capacity.memory_mb
    worker.free_accelerators += (
        capacity.accelerators - known.capacity.accelerators
    )
    if entry.is_draining and not known.is_draining:
        cell.note(
            'worker_draining',
            worker=entry.id,
            runs=len(worker.runs),
            remaining_ms=entry.remaining_ms,
        )
    if not worker.is_listed:
        cell.note('worker_back', worker=entry.id)
    worker.is_listed = True
    worker.listed_at = cell.now
    worker.entry = entry
    if not known.capacity.fits(capacity) or known != entry:
        wake_all(cell)


def wake_all(cell: _state.Cell) -> None:
    """Look at every waiting task at the next pass."""
    for step in cell.waiting.values():
        step.is_blocked = False


def _ask(cell: _state.Cell, worker: _state.Worker, wait_ms: int) -> None:
    worker.ask_at = None
    worker.holds_out += 1
    deadline_ms = None
    # A silent worker may get the question late; it must not extend a lease
    # that is waited for.
    if worker.is_fenced and not (worker.is_silent or worker.is_suspect):
        deadline_ms = _leases.extend(cell, worker)
    entry = worker.entry
    cell.emit(
        effects.PollWorker(
            entry.id,
            entry.life,
            entry.address,
            worker.last_saved_end,
            wait_ms,
            deadline_ms,
        )
    )


def ask_due(cell: _state.Cell) -> None:
    """Ask the workers whose time has come."""
    for worker in cell.workers.values():
        if worker.ask_at is None or worker.ask_at > cell.now:
            continue
        if worker.holds_out > 1 or (worker.holds_out and not worker.is_silent):
            continue
        is_quick = worker.is_silent or worker.last_end > worker.last_saved_end
        _ask(cell, worker, 0 if is_quick else cell.options.hold_wait_ms)


def hold_answered(cell: _state.Cell, event: events.PollAnswered) -> None:
    """Learn what runs on a worker and what has ended there."""
    worker = cell.workers.get(event.worker_id)
    if worker is None:
        return
    if worker.entry.life != event.incarnation:
        if event.incarnation > worker.entry.life:
            _restarted(cell, worker, event.incarnation)
        return
    worker.holds_out = max(0, worker.holds_out - 1)
    cell.heard(worker)
    if worker.is_silent:
        cell.note('worker_answers', worker=worker.id)
    was_out = worker.is_silent or worker.is_suspect or bool(worker.strangers)
    worker.is_silent = worker.is_suspect = False
    _leases.note_clock(cell, worker, event.clock_ms)
    was_fenced = worker.is_fenced
    worker.is_fenced = True
    cell.unfenced.discard(worker.id)
    for entry in event.ended:
        if entry.number > worker.last_end:
            worker.last_end = entry.number
            _runs.ended(cell, worker, entry)
    _runs.listed(cell, worker, event, is_first=not was_fenced)
    _sharing.control(cell, worker)
    _progress.judge(cell, worker)
    if was_out or not was_fenced:
        wake_all(cell)
    _ask_next(cell, worker)


def _restarted(cell: _state.Cell, before: _state.Worker, life: int) -> None:
    # What the new life can hold is known once it has an entry.
    entry = attrs.evolve(before.entry, life=life)
    _join(cell, entry, before)
    cell.workers[entry.id].is_listed = False


def _ask_next(cell: _state.Cell, worker: _state.Worker) -> None:
    if worker.holds_out:
        return
    if worker.last_end > worker.last_saved_end:
        # The ends are stored first, so that the worker may forget them.
        worker.ask_at = cell.now + cell.options.unsaved_look_s
    elif worker.runs or worker.strangers:
        _ask(cell, worker, _wait_ms(cell, worker))
    else:
        worker.ask_at = None


def _wait_ms(cell: _state.Cell, worker: _state.Worker) -> int:
    if any(run.task.step.spec.is_filler for run in worker.runs.values()):
        # What fillers do to others changes within seconds.
        return cell.options.filler_wait_ms
    return cell.options.hold_wait_ms


def ends_saved(cell: _state.Cell) -> None:
    """Tell workers that their ends are stored."""
    for worker_id, number in cell.saving.items():
        worker = cell.workers.get(worker_id)
        if worker is None or worker.last_saved_end >= number:
            continue
        worker.last_saved_end = number
        if worker.holds_out or worker.last_end > number:
            continue
        if worker.runs:
            _ask(cell, worker, cell.options.hold_wait_ms)
        else:
            worker.ask_at = cell.now + IDLE_NOTE_S


def hold_failed(cell: _state.Cell, event: events.PollFailed) -> None:
    """Note that a worker gave no answer, or that another life did."""
    worker = cell.workers.get(event.worker_id)
    if worker is None or worker.entry.life != event.incarnation:
        return
    worker.holds_out = max(0, worker.holds_out - 1)
    if event.outcome is events.Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
        return
    if event.outcome is events.Outcome.OTHER_INCARNATION:
        _runs.other_life(cell, worker)
        return
    is_unsure = event.outcome is events.Outcome.UNKNOWN
    if is_unsure and not (worker.is_suspect or worker.is_silent):
        suspect(cell, worker)
        return
    if not worker.is_silent:
        cell.note(
            'worker_silent', worker=worker.id, outcome=event.outcome.value
        )
    worker.is_silent = True
    worker.ask_at = cell.now + cell.options.hold_retry_s
    _health.copy_runs(cell, worker)


def start_answered(cell: _state.Cell, event: events.StartAnswered) -> None:
    """Settle an order to start; ask for the lists if it is in doubt."""
    worker = _runs.start_answered(cell, event)
    if worker is not None and not (worker.is_suspect or worker.is_silent):
        suspect(cell, worker)


def stop_answered(cell: _state.Cell, event: events.StopAnswered) -> None:
    """Settle an order to stop; ask whether the run ever came to be."""
    worker = _runs.stop_answered(cell, event)
    if worker is not None and not worker.is_silent:
        _ask(cell, worker, 0)


def suspect(cell: _state.Cell, worker: _state.Worker) -> None:
    """Ask a worker at once that has left an order or a question open."""
    worker.is_suspect = True
    _ask(cell, worker, 0)


def expire(cell: _state.Cell) -> None:
    """Conclude what must have ended from leases that ran out."""
    if cell.unfenced and cell.now > cell.in_doubt_until:
        cell.note('doubt_over', workers=len(cell.unfenced))
        cell.unfenced.clear()
        wake_all(cell)
    for worker in list(cell.workers.values()):
        is_over = worker.is_silent and cell.now > worker.lease_until
        if is_over and worker.runs:
            _runs.expired(cell, worker)
        # One that has left empty is not waited for, here or by the next
        # owner.
        has_left = worker.is_fenced and not worker.runs
        if worker.is_listed or worker.id in cell.unfenced:
            continue
        if is_over or has_left:
            del cell.workers[worker.id]
            cell.workers_version += 1
            cell.note('worker_forgotten', worker=worker.id)


def settle(cell: _state.Cell) -> None:
    """Repeat the orders to stop that got no answer."""
    retry_s = cell.options.stop_retry_s
    for worker in cell.workers.values():
        if worker.is_silent:
            continue
        for run in list(worker.runs.values()):
            is_due = cell.now - run.since > retry_s
            if run.phase is not _state.Phase.STOPPING or not is_due:
                continue
            if run.stopped_at is None:
                _runs.stop(cell, run, 'no answer to the stop')
            elif not worker.holds_out or worker.ask_at is None:
                worker.ask_at = cell.now
