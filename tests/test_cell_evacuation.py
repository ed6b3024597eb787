"""Evacuation of data centres: nothing starts there, and all else goes on."""

import asyncio
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest
from tests import cells
from tests import cellsim
from tests import test_cell_random as faults
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import node
from celeryshift_cellnode import ports
from celeryshift_platform import _decode
from celeryshift_standins import rowstore

ENTRIES = tuple(
    cells.entry(name, 8, data_centre=zone) for name, zone in ('ax', 'by')
)
CHANGES = strategies.one_of(
    strategies.frozensets(strategies.sampled_from('xyz')),
    strategies.sampled_from(
        [
            lambda sim, worker: sim.take_over(is_dead=True),
            lambda sim, worker: sim.take_over(is_dead=False),
            lambda sim, worker: faults._close_store(sim, 1.0),
            lambda sim, worker: faults._crash(sim, worker, 1.0),
            lambda sim, worker: faults._disconnect(sim, worker, 2.0),
        ]
    ),
)


@hypothesis.given(
    strategies.integers(0, 10**6),
    strategies.lists(
        strategies.tuples(CHANGES, strategies.floats(0, 3)), min_size=8
    ),
)
def test_no_history_orders_a_start_where_it_is_evacuated(seed, history):
    # ``cellsim`` checks each order, and that no task runs twice.
    sim = cellsim.Sim(seed)
    faults._spread_workers(sim)
    for number, (change, pause_s) in enumerate(history):
        sim.submit(faults.random_job(sim, number))
        if isinstance(change, frozenset):
            sim.evacuate(change)
        else:
            change(sim, sim.random.choice(list(sim.workers.values())))
        sim.run(sim.now + pause_s)
    sim.evacuate(frozenset())
    sim.run(sim.now + faults.SETTLE_S)
    faults.check_all_ended(sim)


def test_waiting_work_goes_elsewhere_and_back_at_once():
    bench = cells.Bench(ENTRIES)
    bench.evacuate('xy')
    assert not bench.accept(cells.job('1', cells.step(12)))
    for zones, names in (('x', 'b' * 8), ('', 'a' * 4)):
        starts = bench.evacuate(zones)
        assert ''.join(start.worker_id for start in starts) == names


def test_a_job_that_fits_only_there_waits_without_holding_up_others():
    # The large job exceeds what its team, which uses half, has left.
    entries = (cells.entry('c', 64, data_centre='z'), cells.entry('d', 8))
    maximum = cells.model.Size(32_000)
    bench = cells.Bench((*ENTRIES, *entries), cells.config(maximum))
    bench.evacuate('z')
    bench.accept(cells.job('0', cells.step(16), queue='weekly'))
    job = cells.job('1', cells.step(2, 32))
    assert cell.rejection_reason(bench.state, job) is None
    assert not bench.accept(job)
    (step,) = cell.explain(bench.state, job.id)['steps'].values()
    assert step['why'] == 'only evacuated data centres can run it: z'
    assert bench.accept(cells.job('2', cells.step(8), queue='weekly'))


def test_a_query_about_evacuated_workers_is_not_waited_for():
    bench = cells.Bench(ENTRIES[:1])
    bench.accept(cells.job('1', queue='simulations'))
    bench.join(ENTRIES[1])
    bench.evacuate('x')
    (query,) = bench.effects_of(effects.RequestAdvice)
    # The first answer must not be taken for that of the second query.
    for name in 'ab':
        answer = query.step, (name,), {name: 'ticket'}, 0.0, 2500
        bench.send(events.AdviceAnswered(0.0, *answer))
    (start,) = bench.effects_of(effects.StartRun)
    assert start.worker_id == 'b'


@pytest.mark.parametrize('names', [[''], 'Z', map(str, range(5000))])
def test_unknown_data_centres_are_logged_once_and_change_nothing(names):
    bench = cells.Bench((*ENTRIES, cells.entry('c', 8, data_centre='')))
    names = set(names)
    bench.evacuate(names)
    assert 1 <= len(bench.effects_of(effects.LogDecision)) <= 20
    bench.evacuate(names)
    assert not bench.last_effects
    assert len(bench.accept(cells.job('1', cells.step(24)))) == 24
    assert cell.gauges(bench.state)['evacuated_data_centres'] == 0


@pytest.mark.parametrize(
    'failure',
    [errors.StoreOutcomeUnknownError('lost'), errors.HistoryLostError('op')],
)
def test_evacuations_follow_the_rows_through_faults(failure, monkeypatch):
    async def fail(*_):
        await asyncio.sleep(0.01)
        raise failure

    async def work():
        store, seen = rowstore.RowStore(), []
        decoder = _decode.Decoder(lambda *_, **__: None)
        known = _evacuations.Evacuations(_decode.TABLES, decoder)
        follower = _followers.ConfigurationFollower(
            store, _decode.TABLES, decoder, known, 5.0, lambda *_, **__: None
        )

        async def collect():
            async for change in follower.follow():
                seen.append(set(change.evacuated))

        task = asyncio.create_task(collect())
        for key in ('evacuate/a', 'evacuate/a/', 'evacuate/', 'wave/1'):
            store.put('op', '', key, b'\xff')
        stale = await store.read('op', '')
        store.remove('op', '', 'evacuate/a/')
        await asyncio.sleep(1.0)
        # A late answer does not undo a newer one.
        known.apply(stale.rows, stale.version, True, known.revision - 1)
        with monkeypatch.context() as patch:
            patch.setattr(store, 'read_changes', fail)
            await asyncio.sleep(10.0)
            assert seen[-1] == known.data_centres == {'a', ''}
            store.remove('op', '', 'evacuate/a')
            store.remove('op', '', 'evacuate/')
            if isinstance(failure, errors.HistoryLostError):
                # The store may number its versions anew.
                store.version = 0
                store._changes.clear()
        await asyncio.sleep(1.0)
        assert seen[-1] == set()
        task.cancel()

    virtualtime.run(work(), 60)


def test_a_new_owner_knows_evacuations_that_its_follower_does_not(monkeypatch):
    # The follower of this node never runs.
    monkeypatch.setattr(node._logs, 'DecisionLog', mock.Mock())
    settings = ports.Settings('n', 'a', 'h', 1, ports.CellSettings())
    store, stub = rowstore.RowStore(), mock.Mock()
    store.put('op', '', 'evacuate/a', b'{}')

    async def work():
        ports_of_node = settings, stub, store, stub, stub
        owning = node.Node(
            *ports_of_node, _decode.Decoder, _decode.TABLES, dict
        )
        owning._owns_version = lambda version: True
        owning._runner_factory.make_writer = lambda version: stub
        owner = _schema.Owner('n', 'h:1', '1', 2)
        await owning._start_owning(owner, 1, time.monotonic())
        *_, evacuations, restored = owning._runner._queue
        assert evacuations.data_centres == {'a'}
        assert isinstance(restored, events.Restored)
        owning._stop_owning('test')

    virtualtime.run(work(), 10)
