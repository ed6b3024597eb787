"""Sending placed tasks to their workers, and taking bookings back."""

from celeryshift_core import _headroom
from celeryshift_core import _ledger
from celeryshift_core import _rights
from celeryshift_core import _shares
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects


def book(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    worker: _ledger.Worker,
    size: _size.Size,
) -> None:
    """Take room on a worker for the next attempt of a task."""
    task.epoch = held.epoch
    task.attempt += 1
    task.worker = worker.name
    hold = _ledger.Hold(task.team, size, task.job, task.urgent)
    held.ledger.hold(worker.name, task.run_id, hold)
    if task.urgent:
        _headroom.change(state, held, worker.upstream, size.slots)
    held.unconfirmed.add(task.run_id)
    _shares.charge(state, held, task.team, size)
    task.note(state.now, 'placed', f'attempt {task.attempt}')


def grow(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    size: _size.Size,
) -> None:
    """Book at least what a run really uses."""
    hold = worker.holds_by_run.get(run_id)
    added = held.ledger.grow(worker.name, run_id, size)
    if hold is not None and added != _size.ZERO:
        _shares.charge(state, held, hold.team, added)


def send(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Ask the worker that was chosen to run a task."""
    worker = held.ledger.workers_by_name[task.worker]
    kind = state.config.kinds[task.kind]
    if task.is_request:
        _send_request(state, task, worker, out)
        return
    job = held.jobs_by_id[task.job]
    job.running.add(task.id)
    out.append(
        effects.StartTask(
            held.number,
            held.epoch,
            worker.name,
            worker.address,
            task.run_id,
            task.team,
            task.kind,
            task.size,
            job.payload,
            state.options.task_lease_s,
            kind.max_run_s,
            _rights.until(state),
        )
    )


def stop(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
    checkpoint: bool = False,
) -> None:
    """Stop a task; its room stays taken until the worker says it ended."""
    task.state = _tasks.TaskState.STOPPING
    worker = held.ledger.workers_by_name.get(task.worker)
    if worker is not None:
        send_stop(state, held, worker, task.run_id, out, checkpoint)


def send_stop(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    out: _state.Out,
    checkpoint: bool = False,
) -> None:
    """Ask a worker to stop a run, after a checkpoint if one is wanted."""
    out.append(
        effects.StopTask(
            held.number,
            held.epoch,
            worker.name,
            worker.address,
            run_id,
            _rights.until(state),
            checkpoint,
        )
    )


def _send_request(
    state: _state.State,
    task: _tasks.Task,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    request = state.requests_by_id[task.request]
    request.sent = True
    state.timers.cancel(_timers.RequestDue(request.id))
    out.append(
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
            min(_rights.until(state), request.deadline),
        )
    )


def adopt(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    hold: _ledger.Hold,
) -> None:
    """Count what a worker runs already, whoever started it."""
    if held.ledger.adopt(worker.name, run_id, hold):
        held.allotment.found(hold.team, hold.size.slots)
        _shares.charge(state, held, hold.team, hold.size)


def free(
    state: _state.State, held: _state.Slice, worker: str, run_id: str
) -> None:
    """Free what a run held, after it ended or was surely not started."""
    state.touched[held.number] = None
    held.unconfirmed.discard(run_id)
    hold = held.ledger.release(worker, run_id)
    if hold is not None:
        _shares.refund(state, held, hold.team, hold.size)
        if hold.urgent:
            upstream = held.ledger.workers_by_name[worker].upstream
            _headroom.change(state, held, upstream, -hold.size.slots)


def unbook(state: _state.State, held: _state.Slice, task: _tasks.Task) -> None:
    """Free what the latest run of a task held."""
    free(state, held, task.worker, task.run_id)
    job = held.jobs_by_id.get(task.job)
    if job is not None:
        job.running.discard(task.id)
        running = held.preemptible_by_upstream.get(task.upstream)
        if running is not None:
            running.pop(task.id, None)
