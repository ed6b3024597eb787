"""Ends of leases of tasks, as the owner and the worker reckon them."""

import builders
import pytest

from celeryshift_standins import invariants

RUN_S = 60.0


@pytest.mark.parametrize('offset_s', [0.0, 0.7, 1.4, 2.1, 2.8, 3.5])
def test_a_task_on_a_cut_off_rack_is_not_started_elsewhere_too_early(offset_s):
    world = builders.one_centre(2, 6, 20.0, slices=1)
    owner = next(
        node
        for node in world.nodes_by_name.values()
        if node.state.slices_by_number
    )
    other = next(n for n in world.nodes_by_name if n != owner.name)
    world.submit(
        other,
        'j',
        'recode',
        'field',
        builders.token(),
        run_s=RUN_S,
    )
    world.run(5.0 + offset_s)
    worker = next(
        name
        for name, worker in world.workers_by_name.items()
        if worker.tasks.running()
    )
    links = world.links
    for source, target in (
        (owner.name, 'platform'),
        (owner.name, other),
        (worker, other),
    ):
        links.cut(world.now, source, target, True)
    world.run(RUN_S)
    spans = world.spans()
    assert len({span.worker for span in spans}) > 1
    assert not list(invariants.overlapping_runs(spans))
