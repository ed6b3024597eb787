"""Keeps tasks that fill from harming the tasks that serve beside them.

A filler works on what others leave, and disturbs them by amounts that are
not known ahead and change within seconds. So it is paced by what the serving
tasks report: halved when one of them nears its target, raised step by step
when there is room again, and moved if it has stood still for long.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import effects

Phase = _state.Phase

FULL_PACE = 100
# A task that lasts is at work when it lists this.
AT_WORK_PERCENT = 100
# Below this pace a filler is stopped rather than halved again.
LEAST_PACE = 12


def control(cell: _state.Cell, worker: _state.Worker) -> None:
    """Pace the fillers of a worker by the newest report of the others."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.task.step.spec.is_filler and run.phase is Phase.RUNNING
    ]
    if not fillers:
        return
    strain = _strain(worker)
    options = cell.options
    if strain > options.strain_high:
        for run in fillers:
            pace = run.pace // 2 if run.pace >= 2 * LEAST_PACE else 0
            _set_pace(cell, run, pace, strain)
    elif strain < options.strain_low:
        for run in fillers:
            pace = min(FULL_PACE, run.pace + options.pace_step)
            _set_pace(cell, run, pace, strain)


def _strain(worker: _state.Worker) -> float:
    """Give the worst tail of a serving task as a part of its target."""
    strain = 0.0
    for run in worker.runs.values():
        target_ms = run.task.step.spec.target_ms
        if target_ms and run.phase is Phase.RUNNING:
            strain = max(strain, run.load / target_ms)
    return strain


def _set_pace(
    cell: _state.Cell, run: _state.Run, pace: int, strain: float
) -> None:
    if pace == run.pace:
        return
    cell.note(
        'filler_paced',
        job=run.task.step.job.spec.id,
        task=run.task.name,
        worker=run.worker.id,
        before=run.pace,
        percent=pace,
        strain=round(strain, 2),
    )
    run.pace = pace
    run.paced_at = cell.now
    entry = run.worker.entry
    cell.emit(
        effects.SetPace(
            entry.id,
            entry.life,
            entry.address,
            run.task.name,
            run.number,
            pace,
        )
    )


def move(cell: _state.Cell) -> None:
    """Stop fillers that have been at a standstill for long."""
    for worker in cell.workers.values():
        for run in list(worker.runs.values()):
            is_still = run.pace == 0 and run.phase is Phase.RUNNING
            waited_s = cell.now - run.paced_at
            if not is_still or waited_s < cell.options.filler_patience_s:
                continue
            if may_stop(run.task.step):
                run.task.avoid.add(worker.id)
                _runs.stop(cell, run, 'no room beside serving tasks')


def may_stop(step: _state.StepRun, run: _state.Run | None = None) -> bool:
    """Tell whether a task of a step may be away by our order.

    A run that is not at work is away already.
    """
    if not step.spec.is_lasting or step.job.state in _jobs.FINAL:
        return True
    if run is not None and run.percent < AT_WORK_PERCENT:
        return True
    away = sum(
        not any(run.phase is Phase.RUNNING for run in task.runs.values())
        for task in step.tasks
    )
    return away < step.spec.may_miss
