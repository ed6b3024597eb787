"""Wall clocks that jump: ages of jobs, and due times of scheduled jobs."""

import attrs
import pytest
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import _clocks
from celeryshift_cell import _jobs
from celeryshift_cell import effects
from celeryshift_cell import events

EARLY_MS = 250


class ClockBench(cells.Bench):
    """Cell whose owner has a wall clock that jumps."""

    jump_ms = 0

    def tick(self, seconds: float = 0.1) -> list[effects.Effect]:
        """Advance the time and send a tick."""
        self.now += seconds
        return self.send(events.Ticked(0.0, self.wall_ms))

    @property
    def wall_ms(self) -> int:
        """Return the wall clock of the owner."""
        return round(self.now * 1000) + self.jump_ms


def _bench():
    return ClockBench((cells.entry('a', cores=64),))


def test_the_age_of_a_job_does_not_jump_with_the_wall_clock():
    # After a jump of minutes, all waiting jobs counted as hopelessly late.
    bench = _bench()
    bench.tick(5.0)
    described = attrs.evolve(cells.job('1'), arrived_ms=4000)
    bench.accept(described)
    job = bench.state.jobs[described.id]
    for bench.jump_ms in (600_000, -600_000, 0):
        bench.tick()
        age_ms = _jobs.age_ms(bench.state, job)
        assert age_ms == pytest.approx(bench.now * 1000 - 4000, abs=1)
        explained = cell.explain(bench.state, described.id)
        assert explained['age_ms'] == round(age_ms)


@pytest.mark.parametrize('arrived_ms', [-(10**15), 10**15])
def test_impossible_arrivals_give_possible_ages(arrived_ms):
    # Times of arrival come from the clocks of other nodes.
    bench = _bench()
    bench.tick(5.0)
    described = attrs.evolve(cells.job('1'), arrived_ms=arrived_ms)
    bench.accept(described)
    age_ms = _jobs.age_ms(bench.state, bench.state.jobs[described.id])
    assert 0 <= age_ms <= _jobs.MAX_AGE_MS


def _run_schedule(jumps_by_tick, ticks=400):
    """Return when each occurrence of a job starts, and on which wall clock."""
    bench = _bench()
    described = cells.job(
        '1', first_due_ms=5000, every_ms=2000, times=10, queue='weekly'
    )
    bench.accept(described)
    started = {}
    for tick in range(ticks):
        bench.jump_ms = jumps_by_tick(tick)
        bench.tick()
        for order in bench.effects_of(effects.StartRun):
            occurrence = int(order.task.split('.')[1])
            assert occurrence not in started
            started[occurrence] = bench.now * 1000, bench.wall_ms
            bench.answer_start(order)
            bench.finish_run(order)
    return started


JUMPS = {
    'forward and back': lambda tick: 3000 if 80 <= tick < 100 else 0,
    'back and forward': lambda tick: -3000 if 80 <= tick < 100 else 0,
    'both ways': lambda tick: 4000 * (tick // 10 % 3 - 1),
    'forward for one tick': lambda tick: 9000 if tick == 70 else 0,
}


@pytest.mark.parametrize('jumps', JUMPS.values(), ids=JUMPS.keys())
def test_a_clock_that_jumps_and_returns_moves_no_occurrence_ahead(jumps):
    # A jump forward started occurrences seconds before their time.
    started = _run_schedule(jumps)
    assert sorted(started) == list(range(10))
    for occurrence, (true_ms, wall_ms) in started.items():
        due_ms = 5000 + 2000 * occurrence
        assert wall_ms >= due_ms - EARLY_MS
        if jumps is not JUMPS['both ways']:
            assert true_ms >= due_ms - EARLY_MS
            assert true_ms <= due_ms + 3000 + 200


def test_a_clock_that_is_set_forward_counts_once_it_lasts():
    started = _run_schedule(lambda tick: 60_000 if tick >= 100 else 0)
    assert sorted(started) == list(range(10))
    latest_ms = max(true_ms for true_ms, _ in started.values())
    assert latest_ms <= 10_000 + _clocks.WINDOW_S * 1000 + 300


def test_the_clocks_keep_few_readings():
    clocks = _clocks.Clocks()
    for tick in range(100_000):
        clocks.read(tick / 10, tick * 101)
    assert len(clocks._recent) <= _clocks.WINDOW_S * 10 + 2
    assert clocks.offset_ms == pytest.approx(99_999, abs=200)


def test_a_new_owner_whose_clock_is_behind_repeats_no_occurrence():
    described = cells.job('1', first_due_ms=1000, every_ms=1000, times=2)
    record = '{"done":{"0.0":"1"},"tasks":{}}'
    successor = ClockBench((cells.entry('a'),), epoch=2)
    successor.jump_ms = -5000
    successor.send(
        events.Restored(
            0.0,
            successor.wall_ms,
            (events.StoredJob(described, 1),),
            {described.id: record},
            (),
            (),
            0.0,
            1,
        )
    )
    started = []
    for _ in range(80):
        successor.tick()
        started += successor.effects_of(effects.StartRun)
    assert [order.task.split('.')[1] for order in started] == ['1']
