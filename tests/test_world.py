"""End-to-end tests of requests and jobs in virtual time."""

import builders

from celeryshift_standins import invariants

SLOTS = 8


def _world(nodes=2, **options):
    return builders.one_centre(nodes, **options)


def _check_invariants(world):
    spans = world.spans()
    slots = dict.fromkeys(world.workers_by_name, SLOTS)
    assert not list(invariants.over_committed(spans, slots))
    assert not list(invariants.overlapping_runs(spans))


def test_a_request_is_answered():
    world = _world()
    call = world.request(
        'n0', 'r1', 'validate', 'field', builders.token(), run_s=0.02
    )
    world.run(1.0)
    assert call.answer is not None
    assert call.waited_s < 0.05


def test_a_job_survives_every_node_being_replaced():
    world = _world()
    call = world.submit(
        'n0', 'j1', 'recode', 'field', builders.token(), tasks=40, run_s=5.0
    )
    world.run(1.0)
    assert call.answer == {'id': 'j1', 'accepted': True, 'existed': False}
    for name in ('n0', 'n1'):
        world.kill(name)
    world.run(2.0)
    for name in ('n2', 'n3'):
        world.add_node(name, 'dc1')
    world.run(60.0)
    show_call = world.request_job_act(
        'n2', 'j1', 'show', 'field', builders.token()
    )
    world.run(1.0)
    assert show_call.answer['state'] == 'done'
    assert show_call.answer['done'] == 40
    _check_invariants(world)


def test_a_request_waits_a_moment_while_no_owner_is_known():
    world = _world(nodes=1)
    world.add_node('n1', 'dc1')
    world.run(0.05)
    state = world.nodes_by_name['n1'].state
    while not (state.config.version and state.vm_revision):
        world.run(0.01)
    # The next lease renewal, which reads the peers, is one second away.
    world.run(0.3)
    state.membership.peers_by_id.clear()
    call = world.request(
        'n1', 'r1', 'validate', 'field', builders.token(), run_s=0.02
    )
    world.run(3.0)
    assert call.refusal is None
    assert call.waited_s < 1.1


def test_a_seal_that_its_worker_refuses_is_sent_to_another():
    world = _world(nodes=1)
    for name in ('w0', 'w1', 'w2'):
        world.workers_by_name[name].refuses = True
    calls = [
        world.request('n0', f's{n}', 'seal', 'field', builders.token())
        for n in range(4)
    ]
    world.run(4.0)
    assert [call.refusal for call in calls] == [None] * 4
    assert world.workers_by_name['w3'].starts == 4


def test_a_request_that_every_worker_refuses_gets_its_final_answer():
    world = _world(nodes=1)
    for worker in world.workers_by_name.values():
        worker.refuses = True
    call = world.request('n0', 'r', 'validate', 'field', builders.token())
    world.run(7.0)
    assert call.refusal.ran.value == 'no'
    assert call.waited_s < 5.1


def test_a_job_beyond_what_may_wait_is_refused():
    world = _world(nodes=1, max_waiting=50)
    calls = []
    for number in range(4):
        calls.append(
            world.submit(
                'n0',
                f'j{number}',
                'recode',
                'field',
                builders.token(),
                tasks=30,
                run_s=60.0,
            )
        )
        world.run(1.0)
    reasons = [call.refusal and call.refusal.reason.value for call in calls]
    # 60 tasks were accepted and 32 can run at once, so at least 28 wait.
    assert reasons == [None, None, 'no-room', 'no-room']
    assert calls[-1].refusal.ran.value == 'no'
    assert calls[-1].refusal.retry_after_s > 0


def test_a_node_of_many_workers_asks_each_more_rarely():
    world = builders.one_centre(1, 200, 30.0)
    state = world.nodes_by_name['n0'].state
    before = state.counters['syncs']
    world.run(60.0)
    # A sync waits ten seconds at most; a tenth more allows for variation.
    assert state.counters['syncs'] - before <= 200 * 60 / 10 * 1.1
