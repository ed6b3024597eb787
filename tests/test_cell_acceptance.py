"""Jobs beyond the memory of the nodes are rejected, and no others are.

All were accepted, whatever they took together, and no node could hold them.
"""

from tests import cells
from tests import virtualtime

from celeryshift_cell import _footprint
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _memory
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _schema

MB = 2**20


class _Writer:
    def __init__(self) -> None:
        self.version = 0

    async def write(self, change: object) -> _groupwriter.Result:
        self.version += 1
        outcome = _groupwriter.WriteOutcome.STORED
        return _groupwriter.Result(outcome, self.version)


class _Runner:
    def __init__(self, bench: cells.Bench) -> None:
        self.state, self.writer = bench.state, _Writer()
        self.enqueue = bench.send

    def log_decision(self, decision: str, **fields: object) -> None:
        """Log nothing."""


def _submit(
    owner: _ownerservice.OwnerService, jobs: list[model.Job], **body: object
) -> list[dict]:
    async def work() -> list[dict]:
        return [
            await owner.handlers['accept'](
                {'job': _schema.unstructure(job)} | body
            )
            for job in jobs
        ]

    return virtualtime.run(work())


def _owner(limit: int) -> tuple[cells.Bench, _ownerservice.OwnerService]:
    bench = cells.Bench()
    bench.send(events.MemoryLimited(0.0, limit))
    owner = _ownerservice.OwnerService()
    owner.runner = _Runner(bench)  # type: ignore[assignment]
    return bench, owner


def test_jobs_beyond_the_memory_are_rejected_until_others_end():
    bench, owner = _owner(4 * MB)
    jobs = [cells.job(f'{n:03x}', cells.step(100)) for n in range(900)]
    answers = _submit(owner, jobs)
    accepted = [a['written'] for a in answers].count('stored')
    rejected = [a for a in answers if a['written'] != 'stored']
    assert len(bench.state.jobs) == accepted > 100
    assert len(rejected) > 100
    assert {a['written'] for a in rejected} == {_ownerservice.OVERLOADED}
    assert all(1 <= a['retry_after_s'] <= 60 for a in rejected)
    assert bench.state.footprint.accepted <= _footprint.JOBS_SHARE * 4 * MB
    for job in jobs[: accepted // 2]:
        bench.send(events.JobCancelled(0.0, job.id))
        bench.store_records()
    bench.store_records()
    bench.tick(20.0)
    bench.tick()
    (again,) = _submit(owner, jobs[-1:])
    assert again['written'] == 'stored'


def test_a_job_that_may_be_stored_already_is_not_rejected():
    _, owner = _owner(4096)
    (answer,) = _submit(owner, [cells.job('1')], in_doubt=True)
    assert answer['written'] == 'stored'


def _node(name: str, memory_mb: float) -> _schema.Node:
    return _schema.Node(name, f'{name}:1', '1', 'here', memory_mb=memory_mb)


def test_the_smallest_node_sets_the_limit():
    nodes = [_node('a', 900), _node('b', 300), _node('c', 0)]
    assert _memory.cell_bytes(nodes) == _memory.cell_bytes([nodes[1]])
    assert _memory.cell_bytes([nodes[2]]) == 0
    assert _memory.cell_bytes([_node('d', 1)]) > 0


def test_a_node_with_less_memory_owns_the_cell_only_alone():
    # It may be killed by what was accepted before it joined.
    nodes = {name: _node(name, mb) for name, mb in (('a', 200), ('b', 300))}
    order = _election.takeover_order(nodes, None)
    assert order.weak == {'a'}
    assert order.rank('b') < order.rank('a')
    assert not _election.takeover_order({'a': nodes['a']}, None).weak


def test_jobs_stored_without_the_owner_share_the_reserve():
    nodes = {name: _node(name, 300) for name in 'ab'}
    allowance = _memory.Allowance(lambda: nodes)
    jobs = (cells.job(f'{n:05x}') for n in range(100_000))
    taken = 0
    for job in jobs:
        if not allowance.take(job):
            break
        taken += _footprint.job_bytes(job)
    limit = _memory.cell_bytes(nodes.values())
    assert 0 < 2 * taken <= _footprint.reserve_bytes(limit)
    allowance.handle_accepted()
    assert allowance.take(job)
