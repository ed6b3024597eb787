"""Jobs that another owner has moved into a slice of this node.

A moved job has an arrival row besides its job row. The owner of the slice gets
a message, and also polls in case the message was lost. It accepts the job by
deleting the arrival row, which succeeds only once. A node that acquires the
slice meanwhile reads the job row in any case.
"""

import attrs

from celeryshift_core import _job_rows
from celeryshift_core import _jobs
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import messages
from celeryshift_core import schema

# Mean interval; each one is chosen at random between half and 1.5 times it.
POLL_S = 10.0
POLL_SOON_S = 0.05
MIN_STAY_S = 30.0
JOBS_PER_WRITE = 64


@attrs.frozen(slots=True)
class ArrivalsPurpose:
    """Purpose of a read that lists jobs moved into slices of this node."""


@attrs.frozen(slots=True)
class RowsPurpose:
    """Purpose of a read of the rows of jobs moved into a slice."""

    slice: int
    epoch: int
    jobs: tuple[str, ...]


@attrs.frozen(slots=True)
class AcceptPurpose:
    """Purpose of a write that accepts jobs moved into a slice."""

    slice: int
    epoch: int
    row_by_job: dict[str, schema.Row]


def read_arrivals(
    state: _state.State, timer: _timers.PollArrivals, outbox: _state.Outbox
) -> None:
    """Read which jobs were moved into the slices of this node."""
    state.timers.set(timer, state.now + POLL_S * (0.5 + state.rng.random()))
    data_centre = state.options.data_centre
    prefixes = tuple(
        schema.arrivals(data_centre, number)
        for number in state.slices_by_number
    )
    if prefixes and state.store.failing_since is None:
        _store.read(state, outbox, ArrivalsPurpose(), prefixes=prefixes)


def handle_jobs_moved(
    state: _state.State,
    sender: str,
    message: messages.JobsMoved,
    outbox: _state.Outbox,
) -> None:
    """Poll soon, since a peer has moved jobs to this node."""
    if not state.slices_by_number.keys().isdisjoint(message.slices):
        key = _timers.PollArrivals()
        at = state.now + POLL_SOON_S
        if (state.timers.at(key) or at) >= at:
            state.timers.set(key, at)


def handle_arrivals_read(
    state: _state.State,
    purpose: ArrivalsPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Read the rows of the jobs that were moved here."""
    if rows is None:
        return
    data_centre = state.options.data_centre
    for slice_ in state.slices_by_number.values():
        prefix = schema.arrivals(data_centre, slice_.number)
        jobs = [key[len(prefix) :] for key in rows if key.startswith(prefix)][
            :JOBS_PER_WRITE
        ]
        if not jobs or slice_.accepting_arrivals:
            continue
        slice_.accepting_arrivals = True
        keys = [schema.arrival(data_centre, slice_.number, j) for j in jobs]
        keys += [schema.job(data_centre, slice_.number, j) for j in jobs]
        rows_purpose = RowsPurpose(slice_.number, slice_.epoch, tuple(jobs))
        _store.read(state, outbox, rows_purpose, tuple(keys))


def handle_rows_read(
    state: _state.State,
    purpose: RowsPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Delete arrival rows, checking that each job row is unchanged."""
    slice_ = _state.owned_slice(state, purpose)
    if slice_ is None:
        return
    data_centre = state.options.data_centre
    checks = {schema.slice_(data_centre, slice_.number): slice_.row_version}
    deletes = []
    row_by_job = {}
    for job_id in purpose.jobs:
        key = schema.arrival(data_centre, slice_.number, job_id)
        arrival = (rows or {}).get(key)
        if arrival is None:
            continue
        checks[key] = arrival.version
        deletes.append(key)
        job_key = schema.job(data_centre, slice_.number, job_id)
        row = (rows or {}).get(job_key)
        if row is not None and job_id not in slice_.jobs_by_id:
            checks[job_key] = row.version
            row_by_job[job_id] = row
    if not deletes:
        slice_.accepting_arrivals = False
        return
    accept_purpose = AcceptPurpose(slice_.number, slice_.epoch, row_by_job)
    _store.write(state, outbox, accept_purpose, checks, {}, tuple(deletes))


def handle_accept_written(
    state: _state.State,
    purpose: AcceptPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Queue the tasks of the accepted jobs."""
    slice_ = _state.owned_slice(state, purpose)
    if slice_ is None:
        return
    slice_.accepting_arrivals = False
    if not result.ok:
        at = state.now + POLL_SOON_S + state.rng.random()
        state.timers.set(_timers.PollArrivals(), at)
        return
    for row in purpose.row_by_job.values():
        accept(state, slice_, row)


def accept(state: _state.State, slice_: _state.Slice, row: schema.Row) -> None:
    """Queue the remaining tasks of a job that was moved here.

    The job is not moved again for MIN_STAY_S.
    """
    job = _job_rows.from_row(row)
    if job.id in slice_.jobs_by_id:
        return
    job.movable_after = state.now + MIN_STAY_S
    _jobs.accept(state, slice_, job)
    state.counters['jobs.taken_in'] += 1
