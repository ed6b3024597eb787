"""Jobs of a cell: order of steps, results, attempts and duplicates."""

from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model


def _job_state(bench, name):
    return bench.state.jobs[name.ljust(16, '0')].state


def test_steps_run_in_their_order():
    bench = cells.Bench((cells.entry('w'),))
    job = cells.job('a', cells.step(2), cells.step(1, after=(0,)))
    first, second = bench.accept(job)
    bench.answer_start(first)
    bench.answer_start(second)
    bench.finish_run(first)
    assert not bench.effects_of(effects.StartRun)
    bench.finish_run(second)
    (last,) = bench.effects_of(effects.StartRun)
    assert last.task.endswith('.0.1.0')
    bench.answer_start(last)
    bench.finish_run(last)
    assert _job_state(bench, 'a') is model.JobState.COMPLETED


def test_a_task_fails_its_job_after_its_attempts():
    bench = cells.Bench((cells.entry('w'),))
    (order,) = bench.accept(cells.job('a'))
    bench.answer_start(order)
    bench.finish_run(order, model.RunResult.FAILED)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.run > order.run
    bench.answer_start(again)
    bench.finish_run(again, model.RunResult.FAILED)
    assert not bench.effects_of(effects.StartRun)
    assert _job_state(bench, 'a') is model.JobState.FAILED


def test_a_worker_is_told_of_an_end_only_once_it_is_stored():
    bench = cells.Bench((cells.entry('w'),))
    first, second = bench.accept(cells.job('a', cells.step(2)))
    bench.answer_start(first)
    bench.answer_start(second)
    bench.finish_run(first)
    assert bench.effects_of(effects.SaveRecords)
    assert not bench.effects_of(effects.PollWorker)
    bench.store_records()
    (poll,) = bench.effects_of(effects.PollWorker)
    assert poll.stored_completion == 1


def test_a_job_told_again_after_its_end_does_not_run_again():
    # A client repeated its request after a change of owner, and the new owner,
    # which did not know the job, ran it again.
    bench = cells.Bench((cells.entry('w'),), epoch=2)
    job = cells.job('a')
    bench.send(
        events.Restored(0.0, 0, (), {}, (), (), in_doubt_until=0.0, version=7)
    )
    bench.send(events.JobAccepted(0.0, events.StoredJob(job, 5)))
    assert not bench.effects_of(effects.StartRun)
    bench.send(events.JobAccepted(0.0, events.StoredJob(job, 9)))
    assert len(bench.effects_of(effects.StartRun)) == 1


def test_a_job_told_again_long_after_its_end_does_not_run_again():
    bench = cells.Bench((cells.entry('w'),))
    (order,) = bench.accept(cells.job('a'))
    bench.answer_start(order)
    bench.finish_run(order)
    bench.store_records()
    bench.tick(60.0)
    bench.tick()
    assert not bench.state.jobs
    assert not bench.accept(cells.job('a'))


def test_progress_is_read_back_by_the_next_owner():
    bench = cells.Bench((cells.entry('w'),))
    orders = bench.accept(cells.job('a', cells.step(3)))
    for order in orders:
        bench.answer_start(order)
    bench.finish_run(orders[0])
    (save,) = bench.effects_of(effects.SaveRecords)
    successor = cells.Bench((cells.entry('w'),), epoch=2)
    successor.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(cells.job('a', cells.step(3)), 1),),
            save.progress_by_job,
            (),
            (),
            in_doubt_until=0.0,
            version=5,
        )
    )
    starts = successor.effects_of(effects.StartRun)
    assert sorted(order.task[-1] for order in starts) == ['1', '2']
    assert min(order.run for order in starts) > max(o.run for o in orders)


def test_a_save_stays_within_what_a_transaction_holds():
    # 45 final states in one save took 180 entries, so the store rejected the
    # save every time and all later ones were blocked.
    bench = cells.Bench((cells.entry('w', cores=500),))
    orders = []
    for number in range(60):
        orders += bench.accept(cells.job(f'{number:02x}'))
    assert len(orders) == 60
    for order in orders:
        bench.answer_start(order)
    saves = []
    for order in orders:
        bench.finish_run(order)
        saves += bench.effects_of(effects.SaveRecords)
    while bench.state.save_in_flight:
        bench.store_records()
        saves += bench.effects_of(effects.SaveRecords)
    assert sum(len(save.ended_by_job) for save in saves) == 60
    for save in saves:
        assert save.entries <= effects.MAX_SAVE_ENTRIES
