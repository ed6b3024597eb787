"""Workers that join, change and leave.

What adds a worker or one of its incarnations, applies a changed entry, or
removes a worker belongs here. Their polls are in ``_polls``.
"""

import attrs

from celeryshift_cell import _cold
from celeryshift_cell import _crashes
from celeryshift_cell import _evacuation
from celeryshift_cell import _polls
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import events
from celeryshift_cell import model


def handle_workers_changed(
    cell: _state.Cell, event: events.WorkersChanged
) -> None:
    """Apply changes to the list of workers."""
    for entry in event.entries:
        worker = cell.workers.get(entry.id)
        if worker is not None and worker.entry.incarnation > entry.incarnation:
            continue
        if worker is None or worker.entry.incarnation != entry.incarnation:
            _join(cell, entry, worker)
        else:
            _update(cell, worker, entry)
    for worker_id in event.removed:
        worker = cell.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            cell.log_decision(
                'worker_left', worker=worker_id, runs=len(worker.runs)
            )


def _join(
    cell: _state.Cell,
    entry: model.WorkerEntry,
    previous: _state.Worker | None,
) -> None:
    if previous is not None:
        _crashes.record_losses(cell, previous)
        _runs.drop_listed_runs(cell, previous)
    worker = add_worker(cell, entry)
    guilty = _crashes.confirm_replaced(cell, worker)
    if previous is not None:
        _runs.transfer_runs(cell, previous, worker)
    _stops.give_up(cell, guilty)
    if previous is not None and previous.id in cell.unfenced:
        _crashes.suspect_in_doubt(cell)
    cell.log_decision(
        'worker_joined',
        worker=entry.id,
        life=entry.incarnation,
        upstream=entry.upstream,
        address=entry.address,
    )
    _polls.poll(cell, worker, 0)


def replace_incarnation(
    cell: _state.Cell,
    replaced: _state.Worker,
    incarnation: int,
    address: str | None = None,
) -> None:
    """Replace a worker by a later incarnation, whose entry is not known."""
    # The capacity of the new incarnation is not known until its entry arrives.
    entry = attrs.evolve(
        replaced.entry,
        incarnation=incarnation,
        address=address or replaced.entry.address,
        cold_remaining_ms=0,
    )
    _join(cell, entry, replaced)
    cell.workers[entry.id].is_listed = False


def add_worker(cell: _state.Cell, entry: model.WorkerEntry) -> _state.Worker:
    """Add a worker without any known runs."""
    capacity = entry.capacity
    worker = _state.Worker(
        entry,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.accelerators,
        capacity,
        listed_at=cell.now,
    )
    cell.add_worker(worker)
    if entry.is_draining:
        cell.due.draining.add(entry.id)
    cell.dirty_workers[entry.id] = None
    _evacuation.update_worker(cell, worker)
    _cold.update_worker(cell, worker)
    return worker


def _update(
    cell: _state.Cell, worker: _state.Worker, entry: model.WorkerEntry
) -> None:
    previous = worker.entry
    capacity = entry.capacity
    if entry.address != previous.address:
        # The stored record has the former address.
        worker.is_recorded = False
        cell.dirty_workers[worker.id] = None
    worker.free_cpu += capacity.cpu_milli - previous.capacity.cpu_milli
    worker.free_memory += capacity.memory_mb - previous.capacity.memory_mb
    worker.free_accelerators += (
        capacity.accelerators - previous.capacity.accelerators
    )
    worker.largest_capacity = worker.largest_capacity.maximum(capacity)
    if capacity != previous.capacity:
        cell.log_decision(
            'worker_resized',
            worker=entry.id,
            cpu_milli=capacity.cpu_milli,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            free_cpu=worker.free_cpu,
            free_memory=worker.free_memory,
            runs=len(worker.runs),
        )
    if entry.is_draining and not previous.is_draining:
        cell.log_decision(
            'worker_draining',
            worker=entry.id,
            runs=len(worker.runs),
            remaining_ms=entry.remaining_ms,
        )
    if not worker.is_listed:
        cell.log_decision('worker_back', worker=entry.id)
        if worker.poll_at is None and not worker.polls_in_flight:
            worker.poll_at = cell.now
    worker.is_listed = True
    worker.listed_at = cell.now
    worker.entry = entry
    _evacuation.update_worker(cell, worker)
    is_warm_early = _cold.update_worker(cell, worker, previous)
    cell.index_worker(worker)
    if entry.is_draining:
        cell.due.draining.add(entry.id)
    was_awaited = worker.entry_awaited_until > cell.now
    worker.entry_awaited_until = 0.0
    if previous != entry or was_awaited or is_warm_early:
        unblock_all(cell)


def expire_leases(cell: _state.Cell) -> None:
    """Drop the runs and workers whose leases have certainly expired."""
    if cell.unfenced and cell.now > cell.in_doubt_until:
        cell.log_decision(
            'doubt_over',
            workers=len(cell.unfenced),
            unfenced=sorted(cell.unfenced),
            after_ms=round((cell.now - cell.restored_at) * 1000),
        )
        cell.unfenced.clear()
        unblock_all(cell)
    _stops.give_up(cell, _crashes.settle_unheard(cell))
    cell.silent_workers = 0
    for worker in list(cell.workers.values()):
        cell.silent_workers += worker.is_silent
        is_expired = worker.is_silent and cell.now > worker.lease_until
        if is_expired and worker.runs:
            _runs.drop_all_runs(cell, worker)
        # A worker that left and has no runs is removed at once, so that
        # neither this owner nor the next one waits for its lease to expire.
        is_idle = worker.is_fenced and not worker.runs
        if worker.is_listed or worker.id in cell.unfenced:
            continue
        if is_expired or is_idle:
            cell.remove_worker(worker)
            cell.dirty_workers[worker.id] = None
            cell.log_decision('worker_forgotten', worker=worker.id)


def unblock_all(cell: _state.Cell) -> None:
    """Try to place every waiting step in the next pass."""
    cell.steps.unblock_all()
