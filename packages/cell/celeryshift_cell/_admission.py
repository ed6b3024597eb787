"""Decides which jobs the owner accepts while more work waits than fits.

A job is rejected if it would end so late that its caller has no use for it.
The prediction counts the work that is placed before it, and the rate at which
more of that work arrives. A job that could still meet its objective is placed
before older ones that can't, so a job that misses it waits until the overload
ends. Nothing is rejected where the totals may be incomplete: soon after a
change of owner, and where no worker is known.
"""

import math

import attrs

from celeryshift_cell import _backlog
from celeryshift_cell import _footprint
from celeryshift_cell import _jobs
from celeryshift_cell import _ordering
from celeryshift_cell import _shares
from celeryshift_cell import _state
from celeryshift_cell import _tallies
from celeryshift_cell import model

# A new owner accepts all jobs for this time.
GRACE_S = 2.0
# It does so longer while more than this share of its workers has not answered.
MAX_UNFENCED_SHARE = 0.1
# Nothing is rejected for want of workers while more than this share of their
# cores and memory is free: the wait then has causes that the totals don't
# show, such as large tasks, labels, accelerators or the limit of the team. The
# headroom for urgent work and what large tasks leave unused add up to it.
MAX_FREE_SHARE = 0.3
# Run times may be half of their estimates, so that only a job that would be
# late by this factor more is certain to be.
ERROR_FACTOR = 2.0
# Work that keeps arriving and is placed earlier takes at most this share of
# the capacity in the prediction: its rate may fall soon.
MAX_EARLIER_SHARE = 0.75
# Least share of the capacity that is left to jobs that miss their objective.
MIN_LATE_SHARE = 0.02
MAX_RETRY_S = 60
# Key of the jobs that were rejected for want of memory.
MEMORY_KEY = ('', -1)


@attrs.frozen(slots=True)
class Prediction:
    """Predicted age of a new job at its completion, in milliseconds.

    ``late_ms`` applies if the job misses its objective.
    """

    in_time_ms: float
    late_ms: float
    objective_ms: float
    # Job-independent inputs, for the log.
    work_ahead: _tallies.Work
    capacity: _tallies.Capacity


@attrs.frozen(slots=True)
class Rejection:
    """Rejection of a job that has not been stored."""

    reason: str
    retry_after_s: int
    # Inputs of the decision, unless it is about memory.
    prediction: Prediction | None = None


def decide(cell: _state.Cell, job: model.Job) -> Rejection | None:
    """Return why a job is rejected, or None to accept it.

    The job carries its mark (``_shares.mark_surplus``).
    """
    if not _may_reject(cell, job):
        return None
    prediction = predict(cell, job)
    limit_ms = prediction.objective_ms
    if prediction.in_time_ms <= limit_ms:
        return None
    reason = 'surplus work would miss its objective'
    if not job.is_surplus:
        late_limit_ms = _ordering.LATE_FACTOR * limit_ms
        if prediction.late_ms <= ERROR_FACTOR * late_limit_ms:
            return None
        reason = 'it would end after its late limit'
    return Rejection(
        f'more work waits than fits: {reason}',
        _retry_after_s(cell, job, prediction),
        prediction,
    )


def decide_by_memory(
    cell: _state.Cell, job: model.Job, pending_bytes: int
) -> Rejection | None:
    """Return why a job is rejected for want of memory, or None.

    ``pending_bytes`` is the memory of the jobs that are being stored.
    """
    footprint = cell.footprint
    excess = footprint.excess(job, pending_bytes)
    if not excess:
        return None
    rate = max(1.0, footprint.freed_per_s(cell.now))
    retry_after_s = _take_slot(
        cell, MEMORY_KEY, excess / rate, _footprint.job_bytes(job), rate
    )
    return Rejection(
        'the accepted jobs take all memory that they may', retry_after_s
    )


def _may_reject(cell: _state.Cell, job: model.Job) -> bool:
    """Return whether the totals are complete, and apply to a job."""
    if not cell.options.rejects_late_jobs:
        return False
    if job.times or any(step.is_lasting for step in job.steps):
        return False
    if not cell.is_restored or cell.now < cell.restored_at + GRACE_S:
        return False
    upstream = _jobs.queue_of(cell, job).upstream
    if upstream not in cell.backlog.saturated:
        return False
    capacity = cell.backlog.capacity(upstream)
    if min(capacity.cpu_milli, capacity.memory_mb) <= 0:
        return False
    free_share = min(
        capacity.free_cpu / capacity.cpu_milli,
        capacity.free_memory / capacity.memory_mb,
    )
    if free_share > MAX_FREE_SHARE and not cell.start_rate:
        return False
    known_cpu = capacity.cpu_milli + capacity.unfenced_cpu
    is_taking_over = (
        cell.unfenced
        and cell.now < cell.in_doubt_until
        and capacity.unfenced_cpu > MAX_UNFENCED_SHARE * known_cpu
    )
    return not is_taking_over


def predict(
    cell: _state.Cell,
    job: model.Job,
    own: _tallies.Work | None = None,
    path_ms: float | None = None,
) -> Prediction:
    """Predict the completion of a job.

    ``own`` and ``path_ms`` are what is left of it, by default all.
    """
    queue = _jobs.queue_of(cell, job)
    rank = _tallies.rank(queue, job.is_surplus and cell.shares.is_weighted)
    whole_path_ms = _jobs.critical_path_ms(cell, job)
    path_ms = whole_path_ms if path_ms is None else path_ms
    own = _backlog.work_of(cell, job) if own is None else own
    earlier, same, late = _tallies.Work(), _tallies.Work(), _tallies.Work()
    for (
        upstream,
        other,
        step_class,
    ), work in cell.backlog.work_by_key.items():
        if upstream != queue.upstream or other > rank:
            continue
        if other < rank:
            earlier.add(work)
        elif step_class == _ordering.IN_TIME:
            same.add(work)
        elif step_class == _ordering.LATE:
            late.add(work)
    inflow, same_inflow = _tallies.Work(), _tallies.Work()
    for (upstream, other), work in cell.backlog.inflow_by_key.items():
        if upstream == queue.upstream and other <= rank:
            inflow.add(work) if other < rank else same_inflow.add(work)
    capacity = cell.backlog.capacity(queue.upstream)
    in_time_ms, late_ms = 0.0, 0.0
    for resource, amount in (
        ('cpu', float(capacity.cpu_milli)),
        ('memory', float(capacity.memory_mb)),
        ('starts', cell.start_rate / 1000),
    ):
        if amount <= 0:
            continue
        rate = amount - min(
            _rate(inflow, resource), MAX_EARLIER_SHARE * amount
        )
        own_ms = getattr(own, resource) / amount
        ahead = getattr(earlier, resource) + getattr(same, resource)
        tail_ms = max(path_ms, own_ms)
        end_ms = ahead / rate + tail_ms
        share = _entitlement(cell, job, rank)
        if resource == 'cpu' and share:
            # The team is placed first while it is below its share.
            of_team = cell.backlog.work_by_team.get((job.team, rank))
            team_cpu = own.cpu + (of_team.cpu if of_team else 0.0)
            team_ms = max(path_ms, team_cpu / (share * rate))
            end_ms = min(end_ms, earlier.cpu / rate + team_ms)
        in_time_ms = max(in_time_ms, end_ms)
        late_rate = max(
            rate - _rate(same_inflow, resource), MIN_LATE_SHARE * amount
        )
        late_ahead = ahead + getattr(late, resource)
        late_ms = max(late_ms, late_ahead / late_rate + tail_ms)
    in_time_ms = max(in_time_ms, _limit_ms(cell, job, rank, path_ms))
    work_ahead = _tallies.Work()
    for work in (earlier, same, late):
        work_ahead.add(work)
    return Prediction(
        in_time_ms,
        max(in_time_ms, late_ms),
        queue.stretch * whole_path_ms + queue.target_ms,
        work_ahead,
        capacity,
    )


def _rate(inflow: _tallies.Work, resource: str) -> float:
    """Return the resource that arriving work occupies in the mean."""
    return float(getattr(inflow, resource)) / (_backlog.INFLOW_S * 1000)


def _entitlement(cell: _state.Cell, job: model.Job, rank: int) -> float:
    """Return the share of a team among those with work of a rank, or 0.

    It is 0 where the shares have no effect.
    """
    if job.is_surplus or not cell.shares.is_weighted:
        return 0.0
    teams = {
        team for team, other in cell.backlog.work_by_team if other == rank
    }
    total = sum(map(cell.shares.weight, teams | {job.team}))
    return cell.shares.weight(job.team) / total


def _limit_ms(
    cell: _state.Cell, job: model.Job, rank: int, path_ms: float
) -> float:
    """Return the completion that the limit of the job's team allows."""
    team = cell.config.teams_by_name.get(job.team)
    if team is None:
        return 0.0
    ahead = _tallies.Work()
    for (name, other), work in cell.backlog.work_by_team.items():
        if name == job.team and other <= rank:
            ahead.add(work)
    wait_ms = 0.0
    if team.maximum.cpu_milli:
        wait_ms = ahead.cpu / team.maximum.cpu_milli
    if team.maximum.memory_mb:
        wait_ms = max(wait_ms, ahead.memory / team.maximum.memory_mb)
    return wait_ms + path_ms if wait_ms else 0.0


def _retry_after_s(
    cell: _state.Cell, job: model.Job, prediction: Prediction
) -> int:
    """Return when a job of this team and size would be accepted.

    Callers that are rejected together are told different seconds, at the rate
    at which work is completed, or at the rate at which the team gets tokens.
    """
    upstream = _jobs.queue_of(cell, job).upstream
    wait_s = (prediction.in_time_ms - prediction.objective_ms) / 1000
    key, rank = upstream, job_rank(cell, job)
    own = max(1.0, _backlog.work_of(cell, job).cpu)
    rate = max(1.0, prediction.capacity.cpu_milli * 1000)
    if job.is_surplus:
        as_share = predict(cell, attrs.evolve(job, is_surplus=False))
        share_s = (as_share.in_time_ms - as_share.objective_ms) / 1000
        token_s = max(_shares.token_wait_s(cell, job.team), share_s)
        if token_s < wait_s:
            wait_s = token_s
            key, own, rate = job.team, 1.0, cell.shares.weight(job.team)
    return _take_slot(cell, (key, rank), wait_s, own, rate)


def job_rank(cell: _state.Cell, job: model.Job) -> int:
    """Return the rank of a job that is not in the cell yet."""
    is_surplus = job.is_surplus and cell.shares.is_weighted
    return _tallies.rank(_jobs.queue_of(cell, job), is_surplus)


def _take_slot(
    cell: _state.Cell,
    key: tuple[str, int],
    wait_s: float,
    amount: float,
    rate: float,
) -> int:
    """Return the seconds until ``amount`` fits, and count it there."""
    slots = cell.backlog.returning_by_key
    now_s = int(cell.now)
    for stale in [name for name in slots if name[2] < now_s]:
        del slots[stale]
    after_s = min(max(1, math.ceil(wait_s)), MAX_RETRY_S)
    while after_s < MAX_RETRY_S:
        slot = (*key, now_s + after_s)
        used = min(amount, rate - slots.get(slot, 0.0))
        if used > 0:
            slots[slot] = slots.get(slot, 0.0) + used
            amount -= used
        if amount <= 0:
            break
        after_s += 1
    return after_s


def explain(cell: _state.Cell, job: _state.JobRun) -> float | None:
    """Return the predicted age of a waiting job at completion, or None."""
    waiting = [s for s in job.steps.known if s.is_ready and s.pending]
    is_saturated = job.queue.upstream in cell.backlog.saturated
    if not waiting or not is_saturated or job.spec.times:
        return None
    path_ms = max(_ordering.remaining_path_ms(cell, s) for s in waiting)
    own = _backlog.remaining_work(cell, job)
    prediction = predict(cell, job.spec, own, path_ms)
    step_class = min(_ordering.classify(cell, step) for step in waiting)
    age_ms = _jobs.age_ms(cell, job)
    if step_class == _ordering.IN_TIME:
        return age_ms + prediction.in_time_ms
    return age_ms + prediction.late_ms
