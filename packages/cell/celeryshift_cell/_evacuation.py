"""Evacuation of data centres: nothing starts there until they are returned.

The operator evacuates a data centre. What runs there continues; everything
that waits is directed to other data centres, and waits if only the evacuated
one can run it. A name that no worker has is kept, since workers of that data
centre may join later.
"""

from celeryshift_cell import _advice
from celeryshift_cell import _feasibility
from celeryshift_cell import _state
from celeryshift_cell import events

# Maximum number of unknown data centres that are logged after one change.
MAX_UNKNOWN_LOGGED = 20


def handle_evacuations_changed(
    cell: _state.Cell, event: events.EvacuationsChanged
) -> None:
    """Apply the set of evacuated data centres."""
    previous, cell.evacuated = cell.evacuated, event.data_centres
    if previous == cell.evacuated:
        return
    workers_by_data_centre: dict[str, list[_state.Worker]] = {}
    for worker in cell.workers.values():
        worker.is_evacuated = _is_evacuated(cell, worker)
        workers_by_data_centre.setdefault(worker.entry.data_centre, []).append(
            worker
        )
    unknown = []
    for name in sorted(cell.evacuated - previous):
        if name and name in workers_by_data_centre:
            _log_evacuated(cell, name, workers_by_data_centre[name])
        else:
            unknown.append(name)
    for name in unknown[:MAX_UNKNOWN_LOGGED]:
        cell.log_decision(
            'evacuation_unknown', data_centre=name, unknown=len(unknown)
        )
    for name in sorted(previous - cell.evacuated):
        if name not in cell.unknown_evacuations:
            cell.log_decision(
                'data_centre_returned',
                data_centre=name,
                workers=len(workers_by_data_centre.get(name, ())),
                evacuated=len(known(cell)),
            )
    cell.unknown_evacuations &= cell.evacuated
    cell.unknown_evacuations |= set(unknown)
    _advice.abandon_unusable(cell)
    cell.steps.unblock_all()


def update_worker(cell: _state.Cell, worker: _state.Worker) -> None:
    """Apply the evacuations to a worker whose entry is new."""
    worker.is_evacuated = _is_evacuated(cell, worker)
    name = worker.entry.data_centre
    if worker.is_evacuated and name in cell.unknown_evacuations:
        cell.unknown_evacuations.discard(name)
        _log_evacuated(cell, name, [worker])


def known(cell: _state.Cell) -> list[str]:
    """Return the evacuated data centres that had workers, sorted."""
    return sorted(cell.evacuated - cell.unknown_evacuations)


def blocks(cell: _state.Cell, step: _state.StepRun) -> bool:
    """Return whether only evacuated workers could run the tasks of a step."""
    if not cell.evacuated:
        return False
    is_able = False
    for worker in cell.workers.values():
        if worker.is_listed and _could_run(step, worker):
            if not worker.is_evacuated:
                return False
            is_able = True
    return is_able


def _could_run(step: _state.StepRun, worker: _state.Worker) -> bool:
    """Return whether a worker could run tasks of a step if it were free."""
    return (
        worker.entry.upstream == step.job.queue.upstream
        and _feasibility.fits(step.spec, worker)
        and step.ineligible.get(worker.id) != worker.entry.incarnation
    )


def _is_evacuated(cell: _state.Cell, worker: _state.Worker) -> bool:
    # Workers without a data centre have an empty name, as has a malformed key.
    name = worker.entry.data_centre
    return bool(name) and name in cell.evacuated


def _log_evacuated(
    cell: _state.Cell, name: str, workers: list[_state.Worker]
) -> None:
    cell.log_decision(
        'data_centre_evacuated',
        data_centre=name,
        workers=len(workers),
        runs=sum(len(worker.runs) for worker in workers),
        steps_waiting=len(cell.waiting),
        evacuated=len(cell.evacuated),
    )
