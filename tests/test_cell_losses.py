"""What the logs and metrics tell of workers that are lost or resized."""

import attrs
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _metrics


def _logged(bench, decision):
    return [
        effect.fields
        for effect in bench.effects_of(effects.LogDecision)
        if effect.decision == decision
    ]


def _lose_worker(bench, name):
    """Let another incarnation answer at the address of a worker."""
    outcome = events.Outcome.OTHER_INCARNATION
    return bench.send(events.PollFailed(0.0, name, 1, outcome))


def test_a_dropped_run_tells_how_many_workers_were_lost_under_its_task():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    bench.tick()
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    metrics = _metrics.Metrics()
    lost = []
    for _ in range(2):
        worker_id = order.worker_id
        bench.now += 0.2
        bench.answer_poll(
            worker_id, (events.RunStatus(order.task, order.run, '', 5),)
        )
        bench.now += 0.3
        _lose_worker(bench, worker_id)
        lost += _logged(bench, 'run_gone')
        for effect in bench.effects_of(effects.LogDecision):
            metrics.observe_decision(effect)
        for again in bench.effects_of(effects.StartRun):
            order = again
            bench.answer_start(order)
    assert [fields['workers_lost'] for fields in lost] == [1, 2]
    assert [fields['survived_ms'] for fields in lost] == [200, 200]
    text = metrics.render()[0].decode()
    assert 'celeryshift_workers_lost_bucket{le="1.0"} 1.0' in text
    assert (
        'celeryshift_runs_dropped_total{why="another worker answers"} 2.0'
        in text
    )


def test_a_change_of_capacity_is_logged_with_what_is_left():
    bench = cells.Bench((cells.entry('a', cores=4),))
    bench.accept(cells.job('j', cells.step(3)))
    shrunk = attrs.evolve(cells.entry('a'), capacity=model.Size(2000, 131_072))
    bench.send(events.WorkersChanged(0.0, (shrunk,)))
    (fields,) = _logged(bench, 'worker_resized')
    assert fields['free_cpu'] == -1000
