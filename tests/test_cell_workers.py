"""Workers of a cell: leases, silence, restarts, and orders in doubt."""

import contextlib

import attrs
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
# Upper bound of the default lease with its margins for slow clocks.
MAX_LEASE_S = 4.2


def _fail_polls(bench, worker, seconds):
    """Fail every poll of a worker for a while; return the start orders."""
    starts = []
    until = bench.now + seconds
    while bench.now < until:
        bench.tick(0.1)
        starts += bench.effects_of(effects.StartRun)
        for poll in bench.effects_of(effects.PollWorker):
            if poll.worker_id == worker:
                bench.send(events.PollFailed(0.0, worker, 1, Outcome.UNKNOWN))
                starts += bench.effects_of(effects.StartRun)
    return starts


def _silence(bench, worker):
    # A worker counts as silent after the second failed poll.
    for _ in range(2):
        bench.send(events.PollFailed(0.0, worker, 1, Outcome.UNKNOWN))


def test_a_task_on_a_silent_worker_starts_elsewhere_after_the_lease():
    # Every unanswered poll of a silent worker extended its lease again, so the
    # lease never expired and the task did not start elsewhere.
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j', cells.step(is_lasting=True)))
    bench.answer_start(order)
    bench.join(cells.entry('b'))
    _silence(bench, 'a')
    assert not _fail_polls(bench, 'a', 3.5)
    (again,) = _fail_polls(bench, 'a', 1.0)
    assert again.worker_id == 'b'


def test_a_stop_without_an_answer_is_settled_by_the_lease():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order, Outcome.UNKNOWN)
    bench.join(cells.entry('b'))
    _silence(bench, 'a')
    (again,) = _fail_polls(bench, 'a', MAX_LEASE_S + 0.5)
    assert again.worker_id == 'b'


def test_an_unanswered_start_that_is_listed_goes_on():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order, Outcome.UNKNOWN)
    bench.tick()
    bench.answer_poll('a', (events.RunStatus(order.task, order.run, '', 10),))
    assert not bench.effects_of(effects.StopRun)
    bench.tick()
    bench.finish_run(order)
    job = next(iter(bench.state.jobs.values()))
    assert job.state is model.JobState.COMPLETED


def test_an_unanswered_start_that_is_not_listed_is_stopped_first():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order, Outcome.UNKNOWN)
    bench.tick()
    bench.answer_poll('a')
    (stop,) = bench.effects_of(effects.StopRun)
    assert not bench.effects_of(effects.StartRun)
    bench.tick(0.5)
    bench.send(
        events.StopAnswered(
            0.0, 'a', stop.incarnation, stop.task, stop.run, Outcome.DONE
        )
    )
    bench.tick()
    bench.answer_poll('a')
    (again,) = bench.effects_of(effects.StartRun)
    assert again.run > order.run


def test_a_restarted_worker_runs_nothing_of_before():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    bench.tick()
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', incarnation=2),)))
    bench.store_records()
    assert not bench.effects_of(effects.StartRun)
    bench.answer_poll('a', incarnation=2)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.incarnation == 2


def test_an_order_under_way_may_reach_the_next_life():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', incarnation=2),)))
    listed = events.RunStatus(order.task, order.run, '', 0)
    bench.answer_poll('a', (listed,), incarnation=2)
    assert not bench.effects_of(effects.StartRun)


def test_room_that_may_be_in_use_is_not_given_again():
    bench = cells.Bench((cells.entry('a', cores=4),))
    first = bench.accept(cells.job('1', cells.step(4)))
    assert len(first) == 4
    bench.answer_start(first[0], Outcome.UNKNOWN)
    assert not bench.accept(cells.job('2'))


def test_a_team_may_hold_what_a_silent_worker_may_still_run():
    # After a change of owner, runs on a worker that had not answered were not
    # counted for their team, which then exceeded its limit.
    maximum = model.Size(cpu_milli=4000)
    bench = cells.Bench(
        (cells.entry('a'),), cells.config(maximum=maximum), epoch=2
    )
    old = cells.job('1', cells.step(3))
    bench.restore(old, silent='b')
    assert not bench.effects_of(effects.StartRun)
    bench.version = 10
    assert len(bench.accept(cells.job('2', cells.step(3)))) == 1


def test_tasks_that_a_silent_worker_may_run_wait_for_the_doubt_to_end():
    bench = cells.Bench((cells.entry('a'),), epoch=2)
    bench.restore(cells.job('1'), silent='b')
    assert not _fail_polls(bench, 'b', 6.5)
    assert _fail_polls(bench, 'b', 1.0)


def test_a_step_that_allows_copies_does_not_wait_for_a_silent_worker():
    # A data centre that is cut off takes a quarter of the urgent tasks with
    # it, and the lease is longer than their objective.
    bench = cells.Bench((cells.entry('a'),))
    copied, uncopied = bench.accept(
        cells.job('1', cells.step(allows_copies=True)), cells.job('2')
    )
    bench.answer_start(copied)
    bench.answer_start(uncopied)
    bench.join(cells.entry('b'))
    _silence(bench, 'a')
    (copy,) = bench.effects_of(effects.StartRun)
    assert copy.task == copied.task
    assert copy.worker_id == 'b'
    bench.answer_start(copy)
    bench.finish_run(copy)
    state = bench.state.jobs['1'.ljust(16, '0')].state
    assert state is model.JobState.COMPLETED


def test_a_straggler_that_allows_copies_gets_one():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    (order,) = bench.accept(cells.job('1', cells.step(allows_copies=True)))
    bench.answer_start(order)
    for _ in range(19):
        bench.tick()
        assert not bench.effects_of(effects.StartRun)
    starts = []
    for _ in range(10):
        bench.tick()
        starts += bench.effects_of(effects.StartRun)
    (copy,) = starts
    assert copy.worker_id != order.worker_id


def test_urgent_work_goes_to_the_faster_of_two_workers():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    seconds = {'a': 1.0, 'b': 2.0}
    for number in range(12):
        worker = 'ab'[number % 2]
        other = 'ba'[number % 2]
        bench.state.workers[other].is_silent = True
        (order,) = bench.accept(cells.job(f'{number:02x}'))
        bench.state.workers[other].is_silent = False
        assert order.worker_id == worker
        bench.answer_start(order)
        bench.now += seconds[worker]
        bench.finish_run(order)
    orders = bench.accept(cells.job('ff', cells.step(8)))
    assert {order.worker_id for order in orders} == {'a'}


def test_a_step_whose_turn_comes_under_the_new_owner_is_not_in_doubt():
    bench = cells.Bench((cells.entry('a'),), epoch=2)
    job = cells.job('1', cells.step(1), cells.step(1, after=(0,)))
    bench.restore(job, silent='b')
    first = f'{job.id}.0.0.0'
    bench.answer_poll('a', (events.RunStatus(first, 1, '', 10),))
    ended = events.RunCompletion(1, first, 1, model.RunResult.DONE, '')
    bench.answer_poll('a', (), (ended,))
    (start,) = bench.effects_of(effects.StartRun)
    assert start.task == f'{job.id}.0.1.0'


def test_a_step_that_the_former_owner_may_have_started_is_in_doubt():
    bench = cells.Bench((cells.entry('a'),), epoch=2)
    job = cells.job('1', cells.step(1), cells.step(1, after=(0,)))
    bench.restore(job, silent='b')
    # This owner did not see the run before it completed, so the former owner
    # may have seen the completion and started the next step.
    first = f'{job.id}.0.0.0'
    ended = events.RunCompletion(1, first, 1, model.RunResult.DONE, '')
    bench.answer_poll('a', (), (ended,))
    assert not bench.effects_of(effects.StartRun)


def test_one_unanswered_question_does_not_make_a_worker_silent():
    # A twentieth of the responses were lost for seconds, and each loss took a
    # healthy worker out of use.
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('1'))
    bench.answer_start(order)
    bench.send(events.PollFailed(0.0, 'a', 1, Outcome.UNKNOWN))
    (poll,) = bench.effects_of(effects.PollWorker)
    assert poll.wait_ms == 0
    assert poll.deadline_ms is None
    assert not bench.accept(cells.job('2'))
    bench.answer_poll('a', (events.RunStatus(order.task, order.run, '', 10),))
    assert bench.effects_of(effects.StartRun)


def test_a_late_order_is_settled_and_repeated_within_half_a_second():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('1'))
    bench.now += 0.3
    bench.answer_start(order, Outcome.UNKNOWN)
    (poll,) = bench.effects_of(effects.PollWorker)
    assert poll.wait_ms == 0
    bench.now += 0.005
    bench.answer_poll('a')
    (stop,) = bench.effects_of(effects.StopRun)
    bench.now += 0.005
    bench.send(
        events.StopAnswered(
            0.0, 'a', stop.incarnation, stop.task, stop.run, Outcome.DONE
        )
    )
    assert [poll.wait_ms for poll in bench.effects_of(effects.PollWorker)] == [
        0
    ]
    bench.now += 0.005
    bench.answer_poll('a')
    assert len(bench.effects_of(effects.StartRun)) == 1


def test_nothing_starts_beside_a_run_of_unknown_size():
    # Runs of jobs that had ended before a change of owner were still being
    # stopped, and the new owner allocated their capacity again.
    bench = cells.Bench(epoch=2)
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    bench.store_records()
    unknown = events.RunStatus(f'{"f" * 16}.0.0.0', 1, '', 50)
    bench.answer_poll('a', (unknown,))
    (stop,) = bench.effects_of(effects.StopRun)
    assert stop.task == unknown.task
    assert bench.effects_of(effects.PollWorker)
    assert not bench.accept(cells.job('1'))
    bench.tick()
    bench.answer_poll('a')
    assert len(bench.effects_of(effects.StartRun)) == 1


def _two_data_centre_bench():
    data_centres = {'a': 'x', 'b': 'x', 'c': 'y'}
    entries = (
        attrs.evolve(cells.entry(name, cores=2), data_centre=data_centre)
        for name, data_centre in data_centres.items()
    )
    return cells.Bench(tuple(entries))


def test_a_data_centre_that_leaves_all_starts_open_gets_no_more():
    # After a data centre had been cut off, start orders were sent to its
    # unreachable workers for up to a second, and each had to wait for a lease
    # to expire.
    bench = _two_data_centre_bench()
    orders = bench.accept(cells.job('j', cells.step(6)))
    for order in orders:
        if order.worker_id == 'c':
            bench.answer_start(order)
    bench.tick(0.1)
    bench.tick(0.1)
    polled = {poll.worker_id for poll in bench.effects_of(effects.PollWorker)}
    assert polled >= {'a', 'b'}
    assert not any(
        bench.state.workers[name].is_usable(bench.now) for name in 'ab'
    )
    assert bench.state.workers['c'].is_usable(bench.now)


def test_a_data_centre_of_which_anything_is_heard_goes_on():
    bench = _two_data_centre_bench()
    orders = bench.accept(cells.job('j', cells.step(6)))
    first = next(o for o in orders if o.worker_id == 'a')
    bench.answer_start(first)
    for order in orders:
        if order.worker_id == 'c':
            bench.answer_start(order)
    bench.tick(0.1)
    bench.tick(0.1)
    assert bench.state.workers['b'].is_usable(bench.now)


def test_what_is_in_doubt_is_bounded_by_the_limit_of_its_team():
    # After a change of owner with one data centre silent, every waiting task
    # counted as running, and teams got nothing for four seconds.
    configuration = cells.config(model.Size(cpu_milli=10 * cells.CORE))
    bench = cells.Bench((), configuration, epoch=2)
    stored = cells.job('old', cells.step(20))
    bench.restore(stored, silent='s')
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    bench.store_records()
    bench.store_records()
    running = tuple(
        events.RunStatus(f'{stored.id}.0.0.{index}', 1, '', 10)
        for index in range(6)
    )
    bench.answer_poll('a', running)
    # New jobs are stored after the version that the state was restored from.
    bench.version = 10
    # Six of ten cores were found in use, so the silent worker may run four.
    assert not bench.accept(cells.job('new', cells.step(4)))
    ended = events.RunCompletion(
        1, running[0].task, 1, cells.model.RunResult.DONE, ''
    )
    bench.answer_poll('a', running[1:], (ended,))
    assert len(bench.effects_of(effects.StartRun)) == 1


def test_what_is_in_doubt_may_go_over_a_limit_where_that_is_granted():
    configuration = cells.config(model.Size(cpu_milli=10 * cells.CORE))
    options = cell.Options(in_doubt_overage=0.2)
    bench = cells.Bench((), configuration, epoch=2, options=options)
    bench.restore(cells.job('old', cells.step(20)), silent='s')
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    bench.store_records()
    bench.store_records()
    bench.answer_poll('a')
    bench.version = 10
    # All ten cores may be in use on the silent worker.
    assert len(bench.accept(cells.job('new', cells.step(4)))) == 2


def test_a_worker_that_has_left_empty_is_forgotten():
    # A worker that had left 15 s before was still in the stored list, and the
    # next owner waited for its lease.
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    bench.send(events.WorkersChanged(0.0, (), ('a', 'b')))
    bench.tick()
    assert list(bench.state.workers) == [order.worker_id]
    bench.finish_run(order)
    bench.tick()
    assert not bench.state.workers


def test_a_run_that_is_listed_before_its_job_is_known_counts():
    # The former owner started a job that the next owner had not received yet.
    # The next owner saw the run first and then started the job again. Found by
    # a random variation of deploy/days/slow-store.toml, seed 52916692132.
    bench = cells.Bench((), epoch=2)
    bench.restore(cells.job('old'), silent='s')
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    bench.send(events.WorkersChanged(0.0, (cells.entry('b'),)))
    bench.store_records()
    bench.store_records()
    bench.answer_poll('b')
    job = cells.job('new')
    task = f'{job.id}.0.0.0'
    bench.answer_poll('a', (events.RunStatus(task, 1, '', 10),))
    assert len(bench.effects_of(effects.StopRun)) == 1
    bench.version = 10
    assert not bench.accept(job)
    ended = events.RunCompletion(1, task, 1, model.RunResult.STOPPED, '')
    bench.now = 8.0
    bench.tick()
    bench.answer_poll('a', (), (ended,))
    starts = [s for s in bench.effects_of(effects.StartRun) if s.task == task]
    assert len(starts) == 1


def test_a_job_that_the_former_owner_may_know_waits_for_silent_workers():
    bench = cells.Bench((cells.entry('a'),), epoch=2)
    bench.restore(cells.job('old'), silent='s')
    bench.state.former_owner_until = 5.0
    bench.version = 10
    assert not bench.accept(cells.job('new'))
    bench.now = 7.5
    assert len(bench.accept(cells.job('later'))) >= 1


def test_an_end_that_is_listed_before_its_job_is_known_counts():
    bench = cells.Bench((cells.entry('a'),), epoch=2)
    job = cells.job('new', cells.step(2))
    ends = tuple(
        events.RunCompletion(
            index + 1, f'{job.id}.0.0.{index}', 1, model.RunResult.DONE, ''
        )
        for index in range(2)
    )
    bench.answer_poll('a', (), ends[:1])
    (start,) = bench.accept(job)
    assert start.task == ends[1].task


def test_a_report_of_a_dropped_run_is_logged():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    _silence(bench, 'a')
    _fail_polls(bench, 'a', MAX_LEASE_S + 0.5)
    bench.answer_poll('a', (events.RunStatus(order.task, order.run, '', 10),))
    (line,) = [
        line.fields
        for line in bench.effects_of(effects.LogDecision)
        if line.decision == 'dropped_run_reported'
    ]
    assert (line['run'], line['why']) == (order.run, 'lease ran out')


def test_a_start_that_a_later_incarnation_confirmed_may_outlast_the_lease():
    bench = cells.Bench((cells.entry('a'),))
    bench.now = 10.0
    bench.answer_poll('a')
    (order,) = bench.accept(cells.job('j'))
    bench.send(
        events.StartAnswered(
            0.0, 'a', 1, order.task, order.run, Outcome.DONE, clock_ms=100
        )
    )
    bench.join(cells.entry('b'))
    _silence(bench, 'a')
    assert not _fail_polls(bench, 'a', bench.state.options.max_lease_s)
    (again,) = _fail_polls(bench, 'a', 0.5)
    assert again.worker_id == 'b'


def test_a_worker_whose_answer_can_not_be_applied_is_polled_again():
    bench = cells.Bench()
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    malformed = events.PollAnswered(0.0, 0.0, 'a', 1, 1, 5, (), (None,))
    with contextlib.suppress(AttributeError):
        bench.send(malformed)
    bench.now += bench.state.options.poll_retry_s
    bench.tick()
    assert bench.effects_of(effects.PollWorker)


def test_a_job_is_accepted_while_the_workers_large_enough_have_shrunk():
    bench = cells.Bench((cells.entry('a', cores=16),))
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', cores=2),)))
    job = cells.job('j', cells.step(1, 8))
    assert cell.rejection_reason(bench.state, job) is None


def test_a_worker_that_missed_a_report_while_silent_is_used_after_the_next():
    bench = cells.Bench((cells.entry('a', cores=4),))
    bench.tick(5.0)
    bench.send(events.PollFailed(0.0, 'a', 1, Outcome.NOT_SENT))
    bench.answer_poll('a')
    assert not bench.accept(cells.job('j', cells.step(1, 4)))
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', cores=2),)))
    assert not bench.effects_of(effects.StartRun)
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', cores=4),)))
    assert bench.effects_of(effects.StartRun)


def test_a_worker_without_a_report_is_used_again_after_a_while():
    # The store may be away, and nothing else would be used then.
    bench = cells.Bench((cells.entry('a'),))
    bench.tick(5.0)
    bench.send(events.PollFailed(0.0, 'a', 1, Outcome.NOT_SENT))
    bench.answer_poll('a')
    assert not bench.accept(cells.job('j'))
    starts = [
        effect
        for _ in range(35)
        for effect in bench.tick()
        if isinstance(effect, effects.StartRun)
    ]
    assert len(starts) == 1
