"""Memory and time that the jobs of a cell cost its owner, by their shape.

The shapes are run one after the other, in this process. ``estimated`` is what
``_footprint`` counts for the accepted jobs and for the started tasks.
"""

import gc
import sys
import time
import tracemalloc
from typing import Any

import attrs

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

WALL_MS = 1_700_000_000_000
DAY_MS = 24 * 3_600_000
QUEUE = model.Queue('recode', 'coding', max_attempts=3)
SIZE = model.Size(1000, 512)
MB = 2**20


@attrs.frozen
class Shape:
    """Number of jobs, their tasks, occurrences and when these are due."""

    name: str
    jobs: int
    tasks: int
    times: int = 0
    due_in_ms: int = 0
    steps: int = 1
    spec_bytes: int = 100
    # Number of workers with 1,000 cores each.
    workers: int = 0


SHAPES = (
    Shape('6 tasks, 1,440 times, not due', 23, 6, 1440, DAY_MS),
    Shape('one task, 9,900 times, not due', 20, 1, 9900, DAY_MS),
    Shape('6 tasks, 1,440 times, overdue', 23, 6, 1440, -DAY_MS),
    Shape('one task, 9,900 times, overdue', 20, 1, 9900, -60 * DAY_MS),
    Shape('1,000 tasks, once', 200, 1000),
    Shape('3 tasks, once', 20_000, 3),
    Shape('3 tasks, 100 times, not due', 10_000, 3, 100, DAY_MS),
    Shape('64 steps, spec of 4,000 bytes', 1000, 1, steps=64, spec_bytes=4000),
    Shape('1,000 tasks, running', 10, 1000, workers=10),
    Shape('one task, 9,900 times, running', 1, 1, 9900, -60 * DAY_MS, 1, 9, 9),
)


def print_shapes(names: list[str]) -> None:
    """Print the cost of each shape whose name contains a given text."""
    sys.stdout.write(
        f'{"shape":32} {"MB":>7} {"estimated":>9} {"a task":>7} '
        f'{"longest turn ms":>15}\n'
    )
    for shape in SHAPES:
        if all(name in shape.name for name in names):
            _print_shape(shape)


def _print_shape(shape: Shape) -> None:
    gc.collect()
    tracemalloc.start()
    state = cell.Cell(1)
    size, longest_s = 0, 0.0
    for event in _events(shape):
        started_at = time.perf_counter()
        emitted = cell.reduce(state, event)
        longest_s = max(longest_s, time.perf_counter() - started_at)
        while emitted:
            emitted = _answer(state, emitted)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tasks = shape.jobs * shape.tasks * max(1, shape.times) * shape.steps
    footprint = getattr(state, 'footprint', None)
    estimated = footprint.accepted + footprint.started if footprint else 0
    sys.stdout.write(
        f'{shape.name:32} {size / MB:7.1f} {estimated / MB:9.1f} '
        f'{size / tasks:7.0f} {longest_s * 1000:15.1f}\n'
    )


def _events(shape: Shape) -> Any:
    config = model.Config(1, {QUEUE.name: QUEUE})
    yield events.ConfigChanged(0.0, config)
    yield events.Restored(0.0, WALL_MS, (), {}, (), (), 0.0, 0)
    entries = tuple(
        model.WorkerEntry(
            f'w{number}',
            1,
            'coding',
            f'w{number}:80',
            'here',
            model.Size(1_000_000, 1_000_000),
        )
        for number in range(shape.workers)
    )
    yield events.WorkersChanged(0.0, entries)
    for entry in entries:
        yield events.PollAnswered(0.0, 0.0, entry.id, 1, 1, 0, (), ())
    for number in range(shape.jobs):
        job = model.Job(
            f'{number:016x}',
            QUEUE.name,
            'team',
            # Not shared between the jobs.
            f'{number:<{shape.spec_bytes}}',
            tuple(
                model.Step(shape.tasks, attrs.evolve(SIZE), 1000)
                for _ in range(shape.steps)
            ),
            WALL_MS,
            WALL_MS + shape.due_in_ms,
            60_000,
            shape.times,
        )
        yield events.JobAccepted(0.0, events.StoredJob(job, number + 1))
    for number in range(400 if shape.workers else 3):
        yield events.Ticked(0.1 * number, WALL_MS + 100 * number)


def _answer(
    state: cell.Cell, emitted: list[effects.Effect]
) -> list[effects.Effect]:
    """Answer the orders to start a run, and the saves."""
    further: list[effects.Effect] = []
    for effect in emitted:
        if isinstance(effect, effects.StartRun):
            answer = events.StartAnswered(
                state.now,
                effect.worker_id,
                effect.incarnation,
                effect.task,
                effect.run,
                events.Outcome.DONE,
                0,
            )
            further += cell.reduce(state, answer)
        elif isinstance(effect, effects.SaveRecords):
            further += cell.reduce(state, events.RecordsSaved(state.now))
    return further


if __name__ == '__main__':
    print_shapes(sys.argv[1:])
