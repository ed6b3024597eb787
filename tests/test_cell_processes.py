"""Node processes on loopback: killed, stopped, and without the store."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
from typing import Any

import aiohttp
from tests import proxies
from tests import runchecks
from tests import site

NODES = 3
# As on small deployments.
MEMORY_MB = 300
DESCRIPTORS = 4100
START_S = 15.0
# How long the load balancer keeps sending connections to a stopping node.
BALANCER_S = 2.0


# Ports below the range for outgoing connections. A port from that range was
# used by such a connection before the program could listen on it.
PORTS = range(20_000, 32_000)
# A program starts to listen on its ports some time after they are assigned.
_assigned_ports: set[int] = set()


def _free_ports(count: int) -> list[int]:
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().choice(PORTS)
        if port in _assigned_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as server:
            server.bind((site.LOOPBACK, port))
            ports.append(port)
            _assigned_ports.add(port)
    return ports


class Program:
    """Node that runs as a process."""

    def __init__(
        self,
        name: str,
        platform: site.FakePlatform,
        folder: pathlib.Path,
        store_port: int | None = None,
        limits: dict[str, int] | None = None,
    ) -> None:
        store_port = store_port or platform.port
        self.name = name
        self.front, ready, self.peer = _free_ports(3)
        self.ready = ready
        self.lines: list[dict[str, Any]] = []
        # Number of lines that former processes have written.
        self.former_lines = 0
        self._settings = folder / f'{name}.json'
        self._settings.write_text(
            json.dumps(
                {
                    'node': name,
                    'ip': site.LOOPBACK,
                    'zone': f'zone-{name}',
                    'listen': {
                        'front': f'{site.LOOPBACK}:{self.front}',
                        'ready': f'{site.LOOPBACK}:{ready}',
                    },
                    'internal_ports': [self.peer, self.peer],
                    'bounds': {'max_hold_ms': 6000, 'grace_s': 6},
                    'limits': limits
                    or {
                        'memory_mb': MEMORY_MB,
                        'file_descriptors': DESCRIPTORS,
                    },
                    'advice': f'{site.LOOPBACK}:{platform.port}',
                    'platform': {'address': f'{site.LOOPBACK}:{store_port}'},
                }
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process."""
        if self._reader is not None:
            await self._reader
        self.former_lines = len(self.lines)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'celeryshift_platform',
            env={**os.environ, 'CELERYSHIFT_CONFIG': str(self._settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def decisions(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of one decision."""
        return [line for line in self.lines if line['decision'] == name]

    @property
    def owns(self) -> bool:
        """Return whether the log says that the process owns the cell."""
        ends = len(self.decisions('orders_end'))
        return len(self.decisions('cell_restored')) > ends

    def memory_mb(self) -> float:
        """Return the private memory of the process; 0 if it has ended."""
        if self.process is None:
            return 0.0
        try:
            path = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in path.read_text().splitlines():
                if line.startswith('RssAnon:'):
                    return int(line.split()[1]) / 1024
        except OSError:
            # The process has ended and was reaped.
            pass
        return 0.0

    async def end(self) -> None:
        """Kill the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


async def call(
    session: aiohttp.ClientSession,
    program: Program,
    method: str,
    job: str,
    body: Any = None,
    key: str = site.KEY,
) -> tuple[int, dict[str, Any]]:
    """Make a call of a client."""
    async with session.request(
        method,
        f'http://{site.LOOPBACK}:{program.front}{site.PREFIX}{job}',
        json=body,
        headers={
            'Host': site.HOST,
            'Authorization': f'Token {key}',
            'Deadline-Ms': '3000',
        },
    ) as answer:
        return answer.status, json.loads(await answer.read())


def job_body(
    tasks: int, took_s: float, crashes: bool = False
) -> dict[str, Any]:
    """Return a job of two steps, the second with one task.

    The tasks may crash each worker that starts them.
    """
    return {
        'spec': json.dumps({'took_s': took_s, 'crashes': crashes}),
        'steps': [
            {'count': tasks, 'cpu': 500, 'mem_mb': 64},
            {'count': 1, 'cpu': 500, 'mem_mb': 64, 'after': [0]},
        ],
    }


class Cluster:
    """Platform, node processes and a client."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.site = site.FakePlatform()
        self._folder = folder
        self.programs: list[Program] = []
        # One in front of each address of a worker.
        self.proxies: list[proxies.Proxy] = []

    async def __aenter__(self) -> 'Cluster':
        try:
            await self._start()
        except BaseException:
            # Stop processes that were started before the failure.
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.site.start()
        for address in self.site.addresses:
            self.proxies.append(await proxies.put_before(address))
        self.session = aiohttp.ClientSession()
        for number in range(NODES):
            program = Program(f'n{number}', self.site, self._folder)
            await program.start()
            self.programs.append(program)
        await until(lambda: any(p.owns for p in self.programs), START_S)
        for program in self.programs:
            await until(lambda p=program: p.decisions('configuration'))
            await until(
                lambda p=program: any(
                    line['nodes'] == NODES
                    for line in p.decisions('nodes_changed')
                )
            )

    async def __aexit__(self, *failure: object) -> None:
        await self.session.close()
        for program in self.programs:
            if program.process is not None:
                await program.end()
        for proxy in self.proxies:
            await proxy.close()
        await self.site.close()

    @property
    def owner(self) -> Program:
        """Return the process that owns the cell."""
        (owner,) = [p for p in self.programs if p.owns]
        return owner

    @property
    def others(self) -> list[Program]:
        """Return the processes that do not own the cell."""
        return [p for p in self.programs if not p.owns]

    async def call(
        self,
        program: Program,
        method: str,
        job: str,
        body: Any = None,
        key: str = site.KEY,
    ) -> tuple[int, dict[str, Any]]:
        """Make a call of a client."""
        return await call(self.session, program, method, job, body, key)

    async def submit(
        self, program: Program, job: str, tasks: int = 2, took_s: float = 0.1
    ) -> int:
        """Submit a job."""
        body = job_body(tasks, took_s)
        status, _ = await self.call(program, 'POST', job, body)
        return status

    async def wait_until_completed(self, program: Program, job: str) -> None:
        """Wait until the state of a job is completed."""

        async def is_completed() -> bool:
            status, answer = await self.call(program, 'GET', job)
            return status == 200 and answer['state'] == 'completed'

        async with asyncio.timeout(15):
            while not await is_completed():
                await asyncio.sleep(0.05)

    def check_runs(self) -> None:
        """Check that no task was done twice or ran twice at once."""
        repetitions = runchecks.find_repetitions(self.site.workers)
        lines = [line for p in self.programs for line in p.lines]
        assert not repetitions, runchecks.report(repetitions, lines)
        done = [task for worker in self.site.workers for task in worker.done]
        assert len(done) == len(set(done))


async def until(condition: Any, within_s: float = 10.0) -> None:
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.02)


def run(work: Any, folder: pathlib.Path) -> None:
    async def run_on_cluster() -> None:
        async with asyncio.timeout(60), Cluster(folder) as cluster:
            await work(cluster)
            cluster.check_runs()

    asyncio.run(run_on_cluster())


def job_id(number: int) -> str:
    return f'{number:016x}'


def test_jobs_are_served_through_any_node(tmp_path):
    async def work(cluster):
        for number, program in enumerate(cluster.programs):
            assert await cluster.submit(program, job_id(number)) == 200
        for number in range(NODES):
            for program in cluster.programs:
                await cluster.wait_until_completed(program, job_id(number))
        status, _ = await cluster.call(cluster.programs[0], 'GET', job_id(99))
        assert status == 410
        status, _ = await cluster.call(
            cluster.programs[0], 'GET', job_id(0), key='unknown'
        )
        assert status == 401
        status, _ = await cluster.call(
            cluster.programs[0], 'POST', 'short', {}
        )
        assert status == 400

    run(work, tmp_path)


def test_a_killed_owner_loses_and_doubles_nothing(tmp_path):
    async def work(cluster):
        owner, others = cluster.owner, cluster.others
        for number in range(12):
            program = cluster.programs[number % NODES]
            assert await cluster.submit(program, job_id(number), 3, 1.0) == 200
        owner.process.send_signal(signal.SIGKILL)
        await until(lambda: any(p.owns for p in others), 6.0)
        assert await cluster.submit(others[0], job_id(50)) == 200
        for number in (*range(12), 50):
            await cluster.wait_until_completed(others[1], job_id(number))

    run(work, tmp_path)


def test_a_paused_owner_wakes_without_harm(tmp_path):
    async def work(cluster):
        owner, others = cluster.owner, cluster.others
        for number in range(6):
            assert (
                await cluster.submit(others[0], job_id(number), 3, 1.0) == 200
            )
        owner.process.send_signal(signal.SIGSTOP)
        await until(lambda: any(p.owns for p in others), 8.0)
        owner.process.send_signal(signal.SIGCONT)
        await until(lambda: not owner.owns, 5.0)
        for number in range(6):
            await cluster.wait_until_completed(others[1], job_id(number))

    run(work, tmp_path)


def test_a_stopped_node_cuts_no_call(tmp_path):
    async def work(cluster):
        owner, others = cluster.owner, cluster.others
        statuses = []
        loop = asyncio.get_running_loop()
        stop_requested_at = loop.time() + 0.3

        async def submit_repeatedly() -> None:
            # The load balancer stops sending connections after two failed
            # checks, one second apart.
            while loop.time() < stop_requested_at + BALANCER_S:
                number = len(statuses)
                statuses.append(await cluster.submit(owner, job_id(number)))
                await asyncio.sleep(0.03)

        submitting = asyncio.create_task(submit_repeatedly())
        await asyncio.sleep(0.3)
        owner.process.send_signal(signal.SIGTERM)
        await submitting
        assert len(statuses) > 10
        assert set(statuses) == {200}
        assert await asyncio.wait_for(owner.process.wait(), 6.0) == 0
        for number in range(len(statuses)):
            await cluster.wait_until_completed(others[0], job_id(number))

    run(work, tmp_path)


def test_accepted_work_goes_on_without_the_store(tmp_path):
    async def work(cluster):
        owner, others = cluster.owner, cluster.others
        for number in range(8):
            assert (
                await cluster.submit(others[0], job_id(number), 3, 0.5) == 200
            )
        cluster.site.is_away = True
        starts = sum(len(w.starts) for w in cluster.site.workers)
        await asyncio.sleep(0.5)
        assert await cluster.submit(others[0], job_id(90)) == 503
        # The later steps start, though the results cannot be stored.
        await until(
            lambda: (
                sum(len(w.starts) for w in cluster.site.workers) > starts
                and all(not w.running for w in cluster.site.workers)
            ),
            8.0,
        )
        await asyncio.sleep(3.0)
        cluster.site.is_away = False
        for number in range(8):
            await cluster.wait_until_completed(others[1], job_id(number))
        assert owner.owns

    run(work, tmp_path)


def test_a_withdrawn_key_is_refused_soon(tmp_path):
    async def work(cluster):
        assert await cluster.submit(cluster.programs[0], job_id(1)) == 200
        cluster.site.configure(2, ())
        await asyncio.sleep(2.0)
        for program in cluster.programs:
            assert await cluster.submit(program, job_id(2)) == 401

    run(work, tmp_path)


def test_a_failed_call_is_explained_by_log_lines(tmp_path):
    async def work(cluster):
        cluster.site.is_away = True
        await asyncio.sleep(1.0)
        node = cluster.others[0]
        assert await cluster.submit(node, job_id(5)) == 503

        def lines() -> list[dict[str, Any]]:
            return [
                line
                for line in node.decisions('submit_answered')
                if line['path'].endswith(job_id(5))
            ]

        await until(lines)
        (line,) = lines()
        assert line['verdict'] == 'unavailable'
        assert line['reason']
        assert node.decisions('store_lost')

    run(work, tmp_path)
