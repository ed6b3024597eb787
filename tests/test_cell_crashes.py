"""Tasks that crash the workers that start them, and those beside them."""

import pytest
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import _progress
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
# Starts of a task that may follow once three workers have crashed under it.
MAX_STARTS = 5
WORKERS = tuple(f'w{number}' for number in range(8))


def _bench():
    options = cell.Options(keep_ended_s=1000.0)
    entries = tuple(cells.entry(name) for name in WORKERS)
    bench = cells.Bench(entries, options=options)
    bench.tick()
    return bench


def _crash(bench, name):
    """Let a worker crash; another incarnation answers seconds later."""
    bench.unreachable.add(name)
    first = bench.send(events.PollFailed(0.0, name, 1, Outcome.UNKNOWN))
    return [
        *first,
        *bench.send(events.PollFailed(0.0, name, 1, Outcome.NOT_SENT)),
    ]


def _come_back(bench, name):
    outcome = Outcome.OTHER_INCARNATION
    return bench.send(events.PollFailed(0.0, name, 1, outcome))


class Crashes:
    """Workers that crash under one task, and are back some seconds later."""

    def __init__(self, bench, victim, down_s=3.3):
        self.starts = []
        self._bench = bench
        self._victim = victim
        self._down_s = down_s
        # When each crashed worker is back.
        self._back_at = {}

    def run(self, orders, seconds):
        """Carry out the orders that follow for a while."""
        bench = self._bench
        until = bench.now + seconds
        self._handle(orders)
        while bench.now < until:
            self._handle(bench.tick())
            for name, at in list(self._back_at.items()):
                if at <= bench.now:
                    # The address is known to have another worker from now on.
                    self._back_at[name] = float('inf')
                    self._handle(_come_back(bench, name))

    def _handle(self, emitted):
        for effect in emitted:
            match effect:
                case effects.StartRun():
                    self._start(effect)
                case effects.SaveRecords():
                    self._handle(self._bench.store_records())

    def _start(self, order):
        self._handle(self._bench.answer_start(order))
        if order.task == self._victim:
            self.starts.append(order)
            self._back_at[order.worker_id] = self._bench.now + self._down_s
            self._handle(_crash(self._bench, order.worker_id))


@pytest.mark.parametrize(
    'fields',
    [{}, {'allows_copies': True}, {'is_lasting': True}, {'is_gang': True}],
    ids=['plain', 'copies', 'lasting', 'gang'],
)
def test_a_task_that_crashes_one_worker_after_the_other_is_given_up(fields):
    bench = _bench()
    job = cells.job('j', cells.step(2, **fields))
    orders = bench.accept(job)
    crashes = Crashes(bench, orders[0].task)
    crashes.run(orders, 40.0)
    assert len(crashes.starts) <= MAX_STARTS
    assert bench.state.jobs[job.id].state is model.JobState.FAILED


def test_a_scheduled_job_with_a_task_that_crashes_workers_is_given_up():
    bench = _bench()
    job = cells.job('j', cells.step(2), times=3, every_ms=60_000)
    orders = bench.accept(job)
    crashes = Crashes(bench, orders[0].task)
    crashes.run(orders, 40.0)
    assert len(crashes.starts) <= MAX_STARTS
    assert bench.state.jobs[job.id].state is model.JobState.FAILED


def _lose(bench, order):
    """Let the worker of a start crash, and another one answer for it."""
    bench.answer_start(order)
    _crash(bench, order.worker_id)
    return [
        effect
        for effect in _come_back(bench, order.worker_id)
        if isinstance(effect, effects.StartRun)
    ]


def test_sound_tasks_beside_one_that_crashes_their_worker_are_not_given_up():
    bench = _bench()
    orders = bench.accept(
        cells.job('j', cells.step(2)), cells.job('sound', cells.step(4))
    )
    crashes = Crashes(bench, orders[0].task)
    crashes.run(orders, 40.0)
    assert bench.state.jobs['j'.ljust(16, '0')].state is (
        model.JobState.FAILED
    )
    sound = bench.state.jobs['sound'.ljust(16, '0')]
    assert sound.state is model.JobState.RUNNING
    assert all(task.runs for task in sound.steps[0, 0].tasks)


def test_nothing_starts_beside_a_task_on_trial():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    bench.tick()
    (order,) = bench.accept(cells.job('j'))
    (trial,) = _lose(bench, order)
    other = cells.job('other')
    assert not bench.accept(other)
    bench.answer_start(trial)
    starts = [
        effect
        for _ in range(8)
        for effect in bench.tick()
        if isinstance(effect, effects.StartRun)
    ]
    assert [start.task for start in starts] == [f'{other.id}.0.0.0']


def test_a_job_that_waits_for_a_trial_is_explained():
    bench = cells.Bench((cells.entry('a'),))
    bench.tick()
    job = cells.job('j')
    (order,) = bench.accept(job)
    assert not _lose(bench, order)
    (step,) = cell.explain(bench.state, job.id)['steps'].values()
    assert 'start on trial' in step['why']


def test_a_worker_that_was_only_silent_leaves_no_suspicion():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    bench.tick()
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    _crash(bench, order.worker_id)
    bench.unreachable.clear()
    task = bench.state.task(order.task)
    assert task.losses_by_worker
    running = (events.RunStatus(order.task, order.run, '', 50),)
    bench.answer_poll(order.worker_id, running)
    assert not task.losses_by_worker
    assert not bench.state.lost_workers


def test_silence_without_a_crash_gives_no_task_up():
    # All workers stay in the list, so that none of them has crashed.
    bench = _bench()
    job = cells.job('j', cells.step(1, allows_copies=True))
    orders = bench.accept(job)
    crashes = Crashes(bench, orders[0].task, down_s=float('inf'))
    crashes.run(orders, 120.0)
    assert len(crashes.starts) > 1
    assert bench.state.jobs[job.id].state is model.JobState.RUNNING


def test_crashes_under_a_task_survive_a_change_of_owner():
    bench = _bench()
    job = cells.job('j')
    (order,) = bench.accept(job)
    bench.store_records()
    (trial,) = _lose(bench, order)
    bench.answer_start(trial)
    record = _progress.encode(bench.state.jobs[job.id])
    successor = _bench()
    successor.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {job.id: record},
            (),
            (),
            0.0,
            2,
        )
    )
    task = successor.state.task(order.task)
    losses = task.losses_by_worker
    assert losses.keys() == {(order.worker_id, 1), (trial.worker_id, 1)}
    assert losses[order.worker_id, 1].is_certain
    assert losses[trial.worker_id, 1].is_trial
    # The worker of the trial answers the new owner, so it has not crashed.
    successor.answer_poll(trial.worker_id)
    assert losses.keys() == {(order.worker_id, 1)}


def test_a_run_that_lasts_clears_its_task():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    bench.tick()
    (order,) = bench.accept(cells.job('j', cells.step(is_lasting=True)))
    (trial,) = _lose(bench, order)
    bench.answer_start(trial)
    task = bench.state.task(order.task)
    for _ in range(12):
        bench.tick(1.0)
        running = (events.RunStatus(trial.task, trial.run, '', 100),)
        bench.answer_poll(trial.worker_id, running)
    assert not task.losses_by_worker


def _replace(bench, name):
    """Let a worker come back, and return the start order that follows."""
    emitted = _come_back(bench, name)
    for _ in range(10):
        for effect in emitted:
            if isinstance(effect, effects.StartRun):
                return effect
        emitted = bench.tick()
    raise AssertionError('the task does not start again')


def test_late_crashes_of_workers_that_lose_answers_give_no_task_up():
    # Such workers are silent first, and crash for another reason later.
    bench = _bench()
    job = cells.job('j')
    (order,) = bench.accept(job)
    for _ in range(4):
        bench.now += 0.31
        bench.unreachable.add(order.worker_id)
        bench.answer_start(order, Outcome.UNKNOWN)
        bench.now += 0.31
        _crash(bench, order.worker_id)
        bench.now += 2.0
        order = _replace(bench, order.worker_id)
    assert bench.state.jobs[job.id].state is model.JobState.RUNNING


def test_crashes_long_after_the_start_of_a_task_give_no_task_up():
    bench = _bench()
    job = cells.job('j', cells.step(is_lasting=True))
    (order,) = bench.accept(job)
    for _ in range(6):
        bench.answer_start(order)
        running = (events.RunStatus(order.task, order.run, '', 100),)
        for _ in range(3):
            bench.now += 1.0
            bench.answer_poll(order.worker_id, running)
        _crash(bench, order.worker_id)
        order = _replace(bench, order.worker_id)
    assert bench.state.jobs[job.id].state is model.JobState.RUNNING


def test_a_trial_on_a_worker_replaced_before_a_takeover_is_settled_at_once():
    bench = _bench()
    job = cells.job('j')
    (order,) = bench.accept(job)
    bench.store_records()
    (trial,) = _lose(bench, order)
    bench.answer_start(trial)
    record = _progress.encode(bench.state.jobs[job.id])
    successor = cells.Bench((cells.entry(trial.worker_id, incarnation=2),))
    successor.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {job.id: record},
            (),
            (),
            0.0,
            2,
        )
    )
    losses = successor.state.task(order.task).losses_by_worker
    assert losses[trial.worker_id, 1].is_certain


def test_a_task_on_trial_starts_only_once_its_trial_is_stored():
    # The next owner did not know of the crash if the owner died meanwhile.
    bench = _bench()
    (order,) = bench.accept(cells.job('j'))
    bench.store_records()
    bench.is_store_slow = True
    bench.answer_start(order)
    _crash(bench, order.worker_id)
    _come_back(bench, order.worker_id)
    for _ in range(3):
        bench.tick()
        assert not bench.effects_of(effects.StartRun)
    while not bench.effects_of(effects.StartRun):
        (save,) = bench.effects_of(effects.SaveRecords) or (None,)
        bench.store_records()
    assert '"losses"' in save.progress_by_job[order.task[:16]]


def test_a_trial_that_is_not_stored_frees_its_worker_after_a_while():
    bench = cells.Bench((cells.entry('a'), cells.entry('b', cores=4)))
    bench.tick()
    (order,) = bench.accept(cells.job('j', cells.step(1, 4)))
    bench.answer_start(order)
    _crash(bench, order.worker_id)
    _come_back(bench, order.worker_id)
    bench.is_store_slow = True
    starts = []
    for _ in range(30):
        starts += bench.accept(cells.job(f'o{len(starts)}', cells.step(1, 4)))
        bench.tick()
        starts += bench.effects_of(effects.StartRun)
    assert starts


def test_what_a_dead_owner_may_have_started_on_a_crashed_worker_is_suspect():
    bench = cells.Bench((cells.entry('a', incarnation=2), cells.entry('b')))
    bench.tick()
    job = cells.job('j')
    bench.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {},
            (),
            # The store knows of the incarnation that has crashed.
            (('a', 1, 'a:80'),),
            0.0,
            2,
        )
    )
    task = bench.state.task(f'{job.id}.0.0.0')
    assert any(loss.is_suspect for loss in task.losses_by_worker.values())
    while not task.runs:
        bench.tick()
    (run,) = task.runs.values()
    assert run.trial_s
