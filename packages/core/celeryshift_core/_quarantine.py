"""Quarantine of workers on which different jobs fail, and their return.

Failures are attributed to a worker if several jobs failed on it in a row, and
either their kinds differ or the kind has recently succeeded elsewhere. After
its quarantine a worker is on probation: it gets one task at a time, until one
succeeds or fails.
"""

from celeryshift_core import _explain
from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects

MIN_FAILED_JOBS = 3
SUCCESS_MAX_AGE_S = 300.0
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 3600.0
PROBATION_S = 60.0
MAX_QUARANTINED_DIVISOR = 5


def record_failure(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Record a failed task, and quarantine its worker if needed."""
    if worker.quarantined:
        return
    worker.failed_kind_by_job[task.job or task.id] = task.kind
    if worker.probation:
        _quarantine(state, slice_, worker, task, 'failed on probation', outbox)
        return
    kinds = set(worker.failed_kind_by_job.values())
    failed_jobs = len(worker.failed_kind_by_job)
    if failed_jobs < MIN_FAILED_JOBS:
        return
    if len(kinds) > 1 or _succeeds_elsewhere(state, worker, task.kind):
        why = f'{failed_jobs} unlike jobs failed in a row'
        _quarantine(state, slice_, worker, task, why, outbox)


def record_success(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    kind: str,
    outbox: _state.Outbox,
) -> None:
    """Record that a task succeeded on a worker."""
    state.last_success_by_kind[kind] = _state.LastSuccess(
        state.now, worker.name
    )
    worker.failed_kind_by_job.clear()
    if worker.probation:
        worker.quarantines = 0
        _end_probation(slice_, worker, outbox)


def record_request_result(
    state: _state.State,
    number: int,
    task: _tasks.Task,
    failure: bool,
    outbox: _state.Outbox,
) -> None:
    """Record whether a request succeeded on its worker."""
    slice_ = state.slices_by_number.get(number)
    worker = slice_.ledger.workers_by_name.get(task.worker) if slice_ else None
    if slice_ is None or worker is None:
        return
    if failure:
        record_failure(state, slice_, worker, task, outbox)
    else:
        record_success(state, slice_, worker, task.kind, outbox)


def handle_quarantine_end(
    state: _state.State, timer: _timers.QuarantineEnds, outbox: _state.Outbox
) -> None:
    """Put a worker on probation, or end its probation.

    The probation ends if a task is running on the worker, and is prolonged
    otherwise.
    """
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    slice_.quarantined.discard(timer.worker)
    worker = slice_.ledger.workers_by_name.get(timer.worker)
    if worker is None:
        return
    if worker.quarantined:
        worker.quarantined = False
        worker.probation = True
        worker.failed_kind_by_job.clear()
        fields = {'worker': worker.name}
        outbox.append(effects.LogChange('worker-on-probation', fields))
    elif worker.probation and worker.bookings_by_run:
        _end_probation(slice_, worker, outbox)
    if worker.probation:
        state.timers.set(timer, state.now + PROBATION_S)
    slice_.ledger.refresh(worker)
    state.slices_to_place[slice_.number] = None


def _end_probation(
    slice_: _state.Slice, worker: _ledger.Worker, outbox: _state.Outbox
) -> None:
    worker.probation = False
    slice_.ledger.refresh(worker)
    fields = {'worker': worker.name}
    outbox.append(effects.LogChange('worker-trusted', fields))


def _quarantine(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    task: _tasks.Task,
    why: str,
    outbox: _state.Outbox,
) -> None:
    max_quarantined = max(
        1, len(slice_.ledger.workers_by_name) // MAX_QUARANTINED_DIVISOR
    )
    if len(slice_.quarantined) >= max_quarantined:
        # So many at once indicate a common cause, not faulty workers.
        state.counters['quarantines.withheld'] += 1
        return
    for_s = min(FIRST_QUARANTINE_S * 2**worker.quarantines, MAX_QUARANTINE_S)
    worker.quarantines += 1
    worker.quarantined = True
    worker.probation = False
    slice_.quarantined.add(worker.name)
    slice_.ledger.refresh(worker)
    key = _timers.QuarantineEnds(slice_.number, slice_.epoch, worker.name)
    state.timers.set(key, state.now + for_s)
    _explain.record_decision(
        state, slice_, task, 'quarantined', f'{worker.name}: {why}'
    )
    state.counters['quarantines'] += 1
    fields = {'worker': worker.name, 'why': why, 'for_s': for_s}
    outbox.append(effects.LogChange('worker-quarantined', fields))


def _succeeds_elsewhere(
    state: _state.State, worker: _ledger.Worker, kind: str
) -> bool:
    success = state.last_success_by_kind.get(kind)
    return (
        success is not None
        and success.worker != worker.name
        and state.now - success.at <= SUCCESS_MAX_AGE_S
    )
