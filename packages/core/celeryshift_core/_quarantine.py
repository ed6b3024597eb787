"""Quarantine of workers on which unlike jobs fail, and their way back.

A failure tells against the worker if several jobs failed on it in a row, and
either their kinds differ or the kind has lately succeeded elsewhere. After
its quarantine a worker is on probation: it gets one task at a time, until
one succeeds or fails.
"""

from celeryshift_core import _explain
from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects

FAILED_JOBS = 3
RECENT_S = 300.0
FIRST_S = 30.0
LONGEST_S = 3600.0
PROBATION_S = 60.0
MOST_DIVISOR = 5


def failed(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Note that a task failed on a worker, and take that out if need be."""
    if worker.quarantined:
        return
    worker.failed_kind_by_job[task.job or task.id] = task.kind
    if worker.probation:
        _quarantine(state, held, worker, task, 'failed on probation', out)
        return
    kinds = set(worker.failed_kind_by_job.values())
    failures = len(worker.failed_kind_by_job)
    if failures < FAILED_JOBS:
        return
    if len(kinds) > 1 or _succeeds_elsewhere(state, worker, task.kind):
        why = f'{failures} unlike jobs failed in a row'
        _quarantine(state, held, worker, task, why, out)


def succeeded(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    kind: str,
    out: _state.Out,
) -> None:
    """Note that a task succeeded on a worker."""
    state.success_by_kind[kind] = _state.Success(state.now, worker.name)
    worker.failed_kind_by_job.clear()
    if worker.probation:
        worker.quarantines = 0
        _trust(held, worker, out)


def request_ended(
    state: _state.State,
    number: int,
    task: _tasks.Task,
    failure: bool,
    out: _state.Out,
) -> None:
    """Note how a request ended on its worker."""
    held = state.slices_by_number.get(number)
    worker = held.ledger.workers_by_name.get(task.worker) if held else None
    if held is None or worker is None:
        return
    if failure:
        failed(state, held, worker, task, out)
    else:
        succeeded(state, held, worker, task.kind, out)


def ends(
    state: _state.State, timer: _timers.QuarantineEnds, out: _state.Out
) -> None:
    """Let a worker show whether it works again, and end its probation.

    A task that runs for long without a failure counts like a success.
    """
    held = _state.owned(state, timer)
    if held is None:
        return
    held.quarantined.discard(timer.worker)
    worker = held.ledger.workers_by_name.get(timer.worker)
    if worker is None:
        return
    if worker.quarantined:
        worker.quarantined = False
        worker.probation = True
        worker.failed_kind_by_job.clear()
        fields = {'worker': worker.name}
        out.append(effects.LogChange('worker-on-probation', fields))
    elif worker.probation and worker.holds_by_run:
        _trust(held, worker, out)
    if worker.probation:
        state.timers.set(timer, state.now + PROBATION_S)
    held.ledger.refresh(worker)
    state.touched[held.number] = None


def _trust(
    held: _state.Slice, worker: _ledger.Worker, out: _state.Out
) -> None:
    worker.probation = False
    held.ledger.refresh(worker)
    fields = {'worker': worker.name}
    out.append(effects.LogChange('worker-trusted', fields))


def _quarantine(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    task: _tasks.Task,
    why: str,
    out: _state.Out,
) -> None:
    most = max(1, len(held.ledger.workers_by_name) // MOST_DIVISOR)
    if len(held.quarantined) >= most:
        # So many at once speak for a common cause, not for bad workers.
        state.counters['quarantines.withheld'] += 1
        return
    for_s = min(FIRST_S * 2**worker.quarantines, LONGEST_S)
    worker.quarantines += 1
    worker.quarantined = True
    worker.probation = False
    held.quarantined.add(worker.name)
    held.ledger.refresh(worker)
    key = _timers.QuarantineEnds(held.number, held.epoch, worker.name)
    state.timers.set(key, state.now + for_s)
    _explain.decide(state, held, task, 'quarantined', f'{worker.name}: {why}')
    state.counters['quarantines'] += 1
    fields = {'worker': worker.name, 'why': why, 'for_s': for_s}
    out.append(effects.LogChange('worker-quarantined', fields))


def _succeeds_elsewhere(
    state: _state.State, worker: _ledger.Worker, kind: str
) -> bool:
    success = state.success_by_kind.get(kind)
    return (
        success is not None
        and success.worker != worker.name
        and state.now - success.at <= RECENT_S
    )
