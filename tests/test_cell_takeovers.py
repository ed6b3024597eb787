"""Takeovers of a cell: what the new owner knows of former owners' runs."""

import attrs
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
# Time after which all leases that a former owner granted have expired.
DOUBT_S = 4.2


def _entry(name, data_centre, cores=32):
    entry = cells.entry(name, cores=cores)
    return attrs.evolve(entry, data_centre=data_centre)


def _running(job, step, index):
    return events.RunStatus(f'{job.id}.0.{step}.{index}', 1, '', 10)


def _done(job, step, index):
    task = f'{job.id}.0.{step}.{index}'
    return events.RunCompletion(1, task, 1, model.RunResult.DONE, '')


def _take_over(job, entries, recorded=()):
    """Return a cell whose owner has just restored a job and the workers."""
    bench = cells.Bench(epoch=2)
    bench.send(events.WorkersChanged(0.0, entries))
    bench.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {},
            (),
            tuple((name, 1, f'{name}:80') for name in recorded),
            in_doubt_until=DOUBT_S,
            version=1,
        )
    )
    bench.version = 1
    bench.store_records()
    bench.store_records()
    return bench


def _starts_while_cut(bench, cut, seconds):
    """Fail all polls of some workers for a while; return the starts."""
    starts = []
    until = bench.now + seconds
    while bench.now < until:
        bench.tick(0.1)
        starts += bench.effects_of(effects.StartRun)
        for poll in bench.effects_of(effects.PollWorker):
            if poll.worker_id in cut:
                bench.send(
                    events.PollFailed(0.0, poll.worker_id, 1, Outcome.UNKNOWN)
                )
                starts += bench.effects_of(effects.StartRun)
    return starts


def test_a_worker_that_answers_once_keeps_its_runs_for_a_lease():
    # The completion that it reports has to be stored before the next poll.
    job = cells.job('1', cells.step(3))
    entries = (_entry('a', 'x', cores=2), _entry('b', 'x', cores=8))
    bench = _take_over(job, entries)
    running = (_running(job, 0, 0), _running(job, 0, 1))
    bench.answer_poll('a', running, (_done(job, 0, 2),))
    bench.answer_poll('b')
    (unanswered,) = bench.accept(cells.job('2'))
    assert unanswered.worker_id == 'b'
    bench.tick(0.1)
    bench.tick(0.1)
    bench.now += 0.3
    for name in 'ab':
        bench.send(events.PollFailed(0.0, name, 1, Outcome.UNKNOWN))
    bench.join(_entry('c', 'y'))
    bench.store_records()
    starts = _starts_while_cut(bench, 'ab', 3.4)
    assert not [start for start in starts if start.task.startswith(job.id)]
    starts = _starts_while_cut(bench, 'ab', 0.6)
    again = [start.task for start in starts if start.task.startswith(job.id)]
    assert again == [status.task for status in running]


def test_a_new_owner_stores_no_list_that_lacks_recorded_workers():
    # The list was stored empty, and complete only in the next write. If the
    # owner was replaced in between, runs on workers without an entry were
    # unknown to the next owner.
    state = cell.Cell(2)
    job = cells.job('1')
    emitted = []
    for event in (
        events.ConfigChanged(0.0, cells.config()),
        events.WorkersChanged(0.0, (cells.entry('a'),)),
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {},
            (),
            (('b', 1, 'b:80'),),
            in_doubt_until=DOUBT_S,
            version=1,
        ),
    ):
        emitted += cell.reduce(state, event)
    (save,) = (e for e in emitted if isinstance(e, effects.SaveRecords))
    stored = {'b': (1, 'b:80')} | save.workers_by_id
    for worker_id in save.removed_workers:
        del stored[worker_id]
    assert stored == {'a': (1, 'a:80'), 'b': (1, 'b:80')}


def test_no_task_starts_on_a_worker_that_the_stored_list_lacks():
    # If the entry of the worker is lost, the next owner knows it by the list.
    bench = cells.Bench()
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    bench.answer_poll('a')
    assert not bench.accept(cells.job('1'))
    bench.send(events.RecordsFailed(0.0))
    bench.tick(0.1)
    assert not bench.effects_of(effects.StartRun)
    bench.tick(0.5)
    bench.store_records()
    assert len(bench.effects_of(effects.StartRun)) == 1


def test_a_step_after_copies_is_in_doubt_although_one_copy_was_known():
    # Another copy may have completed under the former owner, which may then
    # have started the next step.
    job = cells.job(
        '1', cells.step(1, allows_copies=True), cells.step(1, after=(0,))
    )
    bench = _take_over(job, (cells.entry('a'),), recorded=('s',))
    bench.answer_poll('a', (_running(job, 0, 0),))
    bench.answer_poll('a', (), (_done(job, 0, 0),))
    assert not bench.effects_of(effects.StartRun)
    assert not _starts_while_cut(bench, 's', DOUBT_S - 0.1)
    (start,) = _starts_while_cut(bench, 's', 0.3)
    assert start.task == f'{job.id}.0.1.0'
