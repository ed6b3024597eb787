"""Dispatch of placed tasks to their workers, and release of bookings."""

from celeryshift_core import _headroom
from celeryshift_core import _lease
from celeryshift_core import _ledger
from celeryshift_core import _shares
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects


def book(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    worker: _ledger.Worker,
    size: _size.Size,
) -> None:
    """Book capacity on a worker for the next attempt of a task."""
    task.epoch = slice_.epoch
    task.attempt += 1
    task.worker = worker.name
    task.started_at = state.now
    booking = _ledger.Booking(task.team, size, task.job, task.urgent)
    slice_.ledger.book(worker.name, task.run_id, booking)
    if task.urgent:
        _headroom.record_change(state, slice_, worker.upstream, size.slots)
    slice_.unconfirmed_starts.add(task.run_id)
    _shares.charge(state, slice_, task.team, size)
    task.record_decision(state.now, 'placed', f'attempt {task.attempt}')


def grow_booking(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    size: _size.Size,
) -> None:
    """Raise the booking of a run to at least its actual use."""
    booking = worker.bookings_by_run.get(run_id)
    added = slice_.ledger.grow(worker.name, run_id, size)
    if booking is not None and added != _size.ZERO:
        _shares.charge(state, slice_, booking.team, added)


def send(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Ask the chosen worker to run a task."""
    worker = slice_.ledger.workers_by_name[task.worker]
    kind = state.config.kinds[task.kind]
    if task.is_request:
        _send_request(state, task, worker, outbox)
        return
    job = slice_.jobs_by_id[task.job]
    job.running.add(task.id)
    task.started_at = state.now
    outbox.append(
        effects.StartTask(
            slice_.number,
            slice_.epoch,
            worker.name,
            worker.address,
            task.run_id,
            task.team,
            task.kind,
            task.size,
            job.payload,
            state.options.task_lease_s,
            kind.max_run_s,
            _lease.valid_until(state),
        )
    )


def stop(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
    checkpoint: bool = False,
) -> None:
    """Stop a task; its booking stays until the worker reports the end."""
    task.state = _tasks.TaskState.STOPPING
    worker = slice_.ledger.workers_by_name.get(task.worker)
    if worker is not None:
        send_stop(state, slice_, worker, task.run_id, outbox, checkpoint)


def send_stop(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    outbox: _state.Outbox,
    checkpoint: bool = False,
) -> None:
    """Ask a worker to stop a run, optionally after a checkpoint."""
    outbox.append(
        effects.StopTask(
            slice_.number,
            slice_.epoch,
            worker.name,
            worker.address,
            run_id,
            _lease.valid_until(state),
            checkpoint,
        )
    )


def _send_request(
    state: _state.State,
    task: _tasks.Task,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    request = state.requests_by_id[task.request]
    request.sent = True
    state.timers.cancel(_timers.RequestDue(request.id))
    outbox.append(
        effects.SendRequest(
            request.id,
            task.attempt,
            task.run_id,
            worker.name,
            worker.address,
            task.team,
            task.kind,
            task.size,
            state.config.kinds[task.kind].repeatable,
            request.deadline - state.now,
            min(_lease.valid_until(state), request.deadline),
        )
    )


def adopt_run(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    booking: _ledger.Booking,
) -> None:
    """Book a run found on a worker, whichever owner started it."""
    if slice_.ledger.adopt(worker.name, run_id, booking):
        slice_.allotment.settle_inherited(booking.team, booking.size.slots)
        _shares.charge(state, slice_, booking.team, booking.size)


def release_run(
    state: _state.State, slice_: _state.Slice, worker: str, run_id: str
) -> None:
    """Release the booking of a run that ended or was never started."""
    state.slices_to_place[slice_.number] = None
    slice_.unconfirmed_starts.discard(run_id)
    booking = slice_.ledger.release(worker, run_id)
    if booking is not None:
        _shares.refund(state, slice_, booking.team, booking.size)
        if booking.urgent:
            upstream = slice_.ledger.workers_by_name[worker].upstream
            _headroom.record_change(
                state, slice_, upstream, -booking.size.slots
            )


def release_task(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task
) -> None:
    """Release the booking of the latest run of a task."""
    release_run(state, slice_, task.worker, task.run_id)
    job = slice_.jobs_by_id.get(task.job)
    if job is not None:
        job.running.discard(task.id)
        running = slice_.preemptible_by_upstream.get(task.upstream)
        if running is not None:
            running.pop(task.id, None)
