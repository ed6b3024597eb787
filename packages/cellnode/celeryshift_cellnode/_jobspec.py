"""Validates the jobs that clients submit."""

from collections.abc import Iterator
import re

from celeryshift_cell import model
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors

JOB_ID = re.compile(r'[0-9a-f]{16}')
MAX_SPEC_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 1000
MAX_OCCURRENCES = 10_000
# Tasks of all occurrences together: a transaction has room for their progress.
MAX_TASK_RUNS = 10_000


def validate(job: model.Job, row_bytes: int) -> None:
    """Raise ``JobError`` with every problem of a job.

    ``row_bytes`` is the size of the largest row that the store takes.
    """
    problems = list(_find_problems(job))
    size = len(_schema.dump(job))
    if size > row_bytes:
        problems.append(f'it takes {size} bytes of at most {row_bytes}')
    if problems:
        raise errors.JobError(f'job {job.id!r}: ' + '; '.join(problems))


def _find_problems(job: model.Job) -> Iterator[str]:
    if not JOB_ID.fullmatch(job.id):
        yield 'the id is not 16 hexadecimal digits'
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        yield f'the spec has more than {MAX_SPEC_BYTES} bytes'
    if not 0 < len(job.steps) <= MAX_STEPS:
        yield f'there are {len(job.steps)} steps'
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        yield f'there are more than {MAX_TASKS} tasks'
    if not 0 <= job.times <= MAX_OCCURRENCES:
        yield f'it is to run {job.times} times'
    elif job.occurrences * tasks > MAX_TASK_RUNS:
        yield f'there are more than {MAX_TASK_RUNS} tasks in all occurrences'
    if job.times and job.every_ms < 0:
        yield f'the interval is {job.every_ms} ms'
    for number, step in enumerate(job.steps):
        if step.count < 1:
            yield f'step {number} has {step.count} tasks'
        if any(earlier not in range(number) for earlier in step.after):
            yield f'step {number} waits for {step.after}'
        size = step.size
        if min(size.cpu_milli, size.memory_mb, size.accelerators) < 0:
            yield f'step {number} has a size below zero'
