"""Throttles fillers so that they don't slow down serving tasks.

A filler is a task that uses the processor time that other tasks on its worker
leave. How much it interferes with them is not known in advance and changes
within seconds, so its pace is controlled by the latencies that the serving
tasks report. The pace is halved when a latency comes close to its target and
raised in steps when it is low again. A filler that was throttled to a
standstill for too long is moved to another worker.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import effects

Phase = _state.Phase

# Paces are percentages of the full speed of a run.
FULL_PACE = 100
# Progress that a service reports once it is ready.
READY_PERCENT = 100
# A pace that would fall below this is set to 0 instead.
MIN_PACE = 12


def adjust_pace(cell: _state.Cell, worker: _state.Worker) -> None:
    """Adjust the pace of a worker's fillers to the reported latencies."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.task.step.spec.is_filler and run.phase is Phase.RUNNING
    ]
    if not fillers:
        return
    latency_ratio = _latency_ratio(worker)
    options = cell.options
    if latency_ratio > options.latency_ratio_high:
        for run in fillers:
            pace = run.pace // 2 if run.pace >= 2 * MIN_PACE else 0
            _set_pace(cell, run, pace, latency_ratio)
    elif latency_ratio < options.latency_ratio_low:
        for run in fillers:
            pace = min(FULL_PACE, run.pace + options.pace_step)
            _set_pace(cell, run, pace, latency_ratio)


def _latency_ratio(worker: _state.Worker) -> float:
    """Return the highest ratio of tail latency to target on a worker."""
    ratio = 0.0
    for run in worker.runs.values():
        target_ms = run.task.step.spec.target_ms
        if target_ms and run.phase is Phase.RUNNING:
            ratio = max(ratio, run.load / target_ms)
    return ratio


def _set_pace(
    cell: _state.Cell, run: _state.Run, pace: int, latency_ratio: float
) -> None:
    if pace == run.pace:
        return
    cell.log_decision(
        'filler_paced',
        job=run.task.step.job.spec.id,
        task=run.task.name,
        worker=run.worker.id,
        before=run.pace,
        percent=pace,
        strain=round(latency_ratio, 2),
    )
    run.pace = pace
    if pace == 0:
        cell.due.stalled.add(run.worker.id)
    run.pace_changed_at = cell.now
    entry = run.worker.entry
    cell.emit(
        effects.SetPace(
            entry.id,
            entry.incarnation,
            entry.address,
            run.task.name,
            run.number,
            pace,
        )
    )


def stop_stalled(cell: _state.Cell) -> None:
    """Stop fillers that were throttled to a standstill for too long."""
    for worker in cell.workers_in(cell.due.stalled):
        if all(run.pace for run in worker.runs.values()):
            cell.due.stalled.discard(worker.id)
            continue
        for run in list(worker.runs.values()):
            is_stalled = run.pace == 0 and run.phase is Phase.RUNNING
            waited_s = cell.now - run.pace_changed_at
            if not is_stalled or waited_s < cell.options.filler_stall_s:
                continue
            if may_interrupt(run.task.step):
                run.task.avoided_workers.add(worker.id)
                _stops.stop(cell, run, 'no room beside serving tasks')


def may_interrupt(step: _state.StepRun, run: _state.Run | None = None) -> bool:
    """Return whether the scheduler may interrupt a task of a step.

    A run that is not ready counts as down already.
    """
    if not step.spec.is_lasting or step.job.state in _jobs.FINAL:
        return True
    if run is not None and run.percent < READY_PERCENT:
        return True
    running = sum(
        any(run.phase is Phase.RUNNING for run in task.runs.values())
        for task in step.tasks.known
    )
    return step.spec.count - running < step.spec.may_miss
