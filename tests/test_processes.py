"""System tests with real processes and injected faults."""

import asyncio
import collections

import builders

import celeryshift_client
from celeryshift_standins import bed as beds
from celeryshift_standins import invariants

SLOTS = 8
LEASE_S = 4.0
TIMING = {'node_lease_s': LEASE_S, 'task_lease_s': 6.0}


class Load:
    """Load generator that records the outcomes of requests and jobs."""

    def __init__(self, bed: beds.Bed) -> None:
        self._bed = bed
        self._count = 0
        self._is_ended = False
        self.outcomes = collections.Counter()
        self.accepted_jobs = set()

    async def requests(self, node: beds.Member) -> None:
        """Send requests to a node, one at a time, until `end` is called."""
        while not self._is_ended:
            self._count += 1
            # Every fifth request is of a kind that must not be repeated.
            kind = 'seal' if self._count % 5 == 0 else 'validate'
            name = f'{kind}-{self._count}'
            payload = {'run_s': 0.02, 'name': name}
            try:
                async with self._client(node) as caller:
                    answer = await caller.request(
                        kind, 'field', payload, id=name
                    )
            except celeryshift_client.ProblemError as error:
                self.outcomes[f'refused {error.reason} {error.ran}'] += 1
            except celeryshift_client.UnreachableError as error:
                refused = 'ClientConnectorError' in repr(error)
                self.outcomes['unreachable' if refused else 'cut off'] += 1
                await asyncio.sleep(0.05)
            else:
                is_intact = answer['answer'] == payload
                self.outcomes['answered' if is_intact else 'wrong'] += 1

    async def jobs(self, node: beds.Member, count: int) -> None:
        """Submit jobs; each is resubmitted until it is accepted."""
        for number in range(count):
            name = f'{node.name}-job-{number}'
            while name not in self.accepted_jobs:
                try:
                    async with self._client(node) as caller:
                        payload = {'run_s': 0.3}
                        await caller.submit(
                            'recode', 'field', payload, id=name, tasks=3
                        )
                    self.accepted_jobs.add(name)
                except (
                    celeryshift_client.ProblemError,
                    celeryshift_client.UnreachableError,
                ):
                    await asyncio.sleep(0.1)

    async def all_done(self, node: beds.Member) -> bool:
        """Return whether every accepted job is done."""
        async with self._client(node) as caller:
            for name in self.accepted_jobs:
                try:
                    shown = await caller.job(name, 'field')
                except celeryshift_client.ProblemError:
                    return False
                if shown['state'] != 'done':
                    return False
        return True

    def end(self) -> None:
        """Stop sending requests."""
        self._is_ended = True

    def _client(self, node: beds.Member) -> celeryshift_client.Client:
        return self._bed.client(node, builders.token())


async def _set_up(bed: beds.Bed) -> list[beds.Member]:
    await bed.add_workers('dc1', 4, builders.UPSTREAM, SLOTS)
    nodes = [await bed.add_node(f'node{i}', 'dc1') for i in range(3)]
    await bed.submit_config(builders.fleet())
    await bed.wait_for_owners()
    return nodes


async def _check_invariants(bed: beds.Bed, load: Load) -> None:
    assert load.outcomes['answered'] > 0
    assert load.outcomes['wrong'] == 0
    assert load.outcomes['cut off'] == 0
    spans = await bed.spans()
    slots = dict.fromkeys(bed.workers_by_name, SLOTS)
    seals = {span.task for span in spans if ':seal-' in span.task}
    violations = [
        *invariants.over_committed(spans, slots),
        *invariants.overlapping_runs(spans),
        *invariants.run_more_than_once(spans, seals),
    ]
    assert not violations


async def _run_with_fault(fault: str) -> Load:
    async with beds.Bed(**TIMING) as bed:
        try:
            return await _run_with_fault_on(bed, fault)
        except BaseException:
            bed.print_logs()
            raise


async def _run_with_fault_on(bed: beds.Bed, fault: str) -> Load:
    nodes = await _set_up(bed)
    load = Load(bed)
    senders = [asyncio.create_task(load.requests(node)) for node in nodes[1:]]
    submitters = [
        asyncio.create_task(load.jobs(node, 10)) for node in nodes[1:]
    ]
    await asyncio.sleep(0.5)
    await FAULTS_BY_NAME[fault](bed, nodes, load)
    await asyncio.gather(*submitters)
    load.end()
    await asyncio.gather(*senders)
    await bed.wait_until(
        lambda: load.all_done(nodes[1]), 'every accepted job is done', 60
    )
    await _check_invariants(bed, load)
    return load


async def _kill(bed: beds.Bed, nodes: list[beds.Member], load: Load) -> None:
    bed.kill(nodes[0])
    del bed.nodes_by_name[nodes[0].name]
    await bed.wait_for_owners()


async def _freeze(bed: beds.Bed, nodes: list[beds.Member], load: Load) -> None:
    bed.pause(nodes[0])
    frozen = bed.nodes_by_name.pop(nodes[0].name)
    await bed.wait_for_owners()
    bed.resume(frozen)
    await bed.wait_until(
        lambda: _is_serving(bed, frozen), 'the frozen node answers'
    )


async def _is_serving(bed: beds.Bed, node: beds.Member) -> bool:
    return await bed.node_state(node) is not None


async def _stop(bed: beds.Bed, nodes: list[beds.Member], load: Load) -> None:
    sender = asyncio.create_task(load.requests(nodes[0]))
    await asyncio.sleep(0.5)
    assert await bed.stop(nodes[0]) == 0
    del bed.nodes_by_name[nodes[0].name]
    load.end()
    await sender


async def _store_down(
    bed: beds.Bed, nodes: list[beds.Member], load: Load
) -> None:
    await bed.post(bed.platform, '/control/faults', {'down': True})
    expires_at = asyncio.get_running_loop().time() + LEASE_S

    async def has_expired() -> bool:
        return asyncio.get_running_loop().time() > expires_at

    await bed.wait_until(has_expired, 'every lease from the store has lapsed')
    before = load.outcomes['answered']

    async def still_answered() -> bool:
        return load.outcomes['answered'] > before + 20

    await bed.wait_until(still_answered, 'requests are answered without store')
    await bed.post(bed.platform, '/control/faults', {'down': False})
    # The platform executes the next five transactions, but their answers are
    # lost.
    await bed.post(bed.platform, '/control/faults', {'lose': 5})


async def _silence(
    bed: beds.Bed, nodes: list[beds.Member], load: Load
) -> None:
    # Connections that are open now never answer again: a request over them
    # hangs before the worker handles it, or after it has run.
    for when in ('before', 'after'):
        for worker in bed.workers_by_name.values():
            await bed.post(worker, '/control/faults', {'silence': when})
        before = load.outcomes['answered']

        async def answered(before: int = before) -> bool:
            return load.outcomes['answered'] > before + 20

        await bed.wait_until(answered, 'requests go over new connections')


async def _freeze_worker(
    bed: beds.Bed, nodes: list[beds.Member], load: Load
) -> None:
    worker = next(iter(bed.workers_by_name.values()))
    bed.pause(worker)
    before = load.outcomes['answered']

    async def answered() -> bool:
        return load.outcomes['answered'] > before + 60

    await bed.wait_until(answered, 'requests are answered elsewhere')
    bed.resume(worker)


FAULTS_BY_NAME = {
    'kill': _kill,
    'freeze': _freeze,
    'stop': _stop,
    'store-down': _store_down,
    'silence': _silence,
    'freeze-worker': _freeze_worker,
}


def test_a_killed_node_loses_and_doubles_nothing():
    asyncio.run(_run_with_fault('kill'))


def test_a_frozen_node_loses_and_doubles_nothing():
    asyncio.run(_run_with_fault('freeze'))


def test_a_graceful_stop_cuts_off_no_request():
    asyncio.run(_run_with_fault('stop'))


def test_a_store_outage_loses_and_doubles_nothing():
    asyncio.run(_run_with_fault('store-down'))


def test_silent_connections_lose_and_double_nothing():
    load = asyncio.run(_run_with_fault('silence'))
    refused = [name for name in load.outcomes if name.startswith('refused')]
    assert not refused


def test_a_frozen_worker_loses_and_doubles_nothing():
    load = asyncio.run(_run_with_fault('freeze-worker'))
    # Only requests that must not be repeated may have an unknown outcome.
    refused = {name for name in load.outcomes if name.startswith('refused')}
    assert refused <= {'refused worker-lost unknown'}
