"""Test bed of real processes on loopback: platform, workers and nodes."""

import asyncio
import contextlib
import hashlib
import json
import pathlib
import signal
import sys
import tempfile
from types import TracebackType
from typing import Any

import aiohttp
import attrs

import celeryshift_client
from celeryshift_standins import invariants

CLUSTER_TOKEN = 'cluster-token-of-the-bed'
OPERATOR_TOKEN = 'operator-token-of-the-bed'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05


class BedError(Exception):
    """A process of the test bed did not start or reach a state in time."""


@attrs.define(eq=False)
class Member:
    """One process of the test bed."""

    name: str
    address: str
    process: asyncio.subprocess.Process
    data_centre: str = ''
    log: pathlib.Path | None = None

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f'http://{self.address}'


class Bed:
    """Test bed; as a context manager, it kills every process it started."""

    def __init__(self, slices: int = 4, **timing: float) -> None:
        self.slices = slices
        self.timing = timing
        self.nodes_by_name: dict[str, Member] = {}
        self.workers_by_name: dict[str, Member] = {}
        self.platform: Member
        self._members: list[Member] = []
        self._exit_stack = contextlib.ExitStack()

    async def __aenter__(self) -> 'Bed':
        folder = tempfile.TemporaryDirectory(prefix='celeryshift-bed-')
        self.folder = pathlib.Path(self._exit_stack.enter_context(folder))
        self._session = aiohttp.ClientSession()
        self.platform = await self._start(
            'platform', '-m', 'celeryshift_standins.platform'
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for member in self._members:
            if member.process.returncode is None:
                member.process.kill()
        for member in self._members:
            await member.process.wait()
        await self._session.close()
        self._exit_stack.close()

    async def add_workers(
        self, data_centre: str, count: int, upstream: str, slots: int = 8
    ) -> None:
        """Start workers and add them to the VM list."""
        first = len(self.workers_by_name)
        names = [f'w{first + i:03d}' for i in range(count)]
        started = await asyncio.gather(
            *(
                self._start(name, '-m', 'celeryshift_standins.worker')
                for name in names
            )
        )
        vms = []
        for index, member in enumerate(started):
            member.data_centre = data_centre
            self.workers_by_name[member.name] = member
            rack = f'{data_centre}-r{index // 6}'
            vms.append(_vm_entry(member, upstream, rack, slots))
        await self.post(self.platform, '/control/vms', vms)

    async def add_node(self, name: str, data_centre: str) -> Member:
        """Start a node."""
        settings = {
            'data_centre': data_centre,
            'platform_url': self.platform.url,
            'cluster_token': CLUSTER_TOKEN,
            'slices': self.slices,
            'operators': {'ana': _sha256(OPERATOR_TOKEN)},
            'timing': self.timing,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        member = await self._start(
            name,
            '-c',
            'import celeryshift_node; celeryshift_node.main()',
            '--settings',
            str(path),
        )
        member.data_centre = data_centre
        self.nodes_by_name[name] = member
        return member

    async def submit_config(self, fleet: celeryshift_client.Fleet) -> None:
        """Submit a configuration and wait until all nodes apply it."""
        node = next(iter(self.nodes_by_name.values()))
        async with self.client(node, OPERATOR_TOKEN) as operator:
            current = await operator.call('GET', '/operator/v1/config')
            version = current['version']
            await operator.hand_in(version, fleet.document())

        async def in_force() -> bool:
            states = [
                await self.node_state(node)
                for node in self.nodes_by_name.values()
            ]
            return all(s and s['config_version'] > version for s in states)

        await self.wait_until(in_force, 'the configuration is in force')

    async def wait_for_owners(self) -> None:
        """Wait until every slice has an owner in the phase `ready`."""
        centres = {n.data_centre for n in self.nodes_by_name.values()}

        async def owned() -> bool:
            ready = 0
            for node in self.nodes_by_name.values():
                state = await self.node_state(node)
                phases = state['slices'].values() if state else []
                ready += sum(phase == 'ready' for phase in phases)
            return ready == len(centres) * self.slices

        await self.wait_until(owned, 'every slice has an owner')

    async def node_state(self, node: Member) -> dict[str, Any] | None:
        """Fetch the state that a node reports, or None without an answer."""
        if node.process.returncode is not None:
            return None
        try:
            async with self.client(node, OPERATOR_TOKEN, 2.0) as operator:
                return await operator.call('GET', '/operator/v1/node')
        except celeryshift_client.UnreachableError:
            return None

    def client(
        self, node: Member, token: str = '', timeout_s: float = 30.0
    ) -> celeryshift_client.Client:
        """Return a client of a node."""
        return celeryshift_client.Client(node.url, token, timeout_s)

    async def post(self, member: Member, path: str, body: Any) -> Any:
        """Send JSON to a fake platform or worker; return its answer."""
        async with self._session.post(member.url + path, json=body) as reply:
            return await reply.json()

    async def spans(self) -> list[invariants.Span]:
        """Fetch the time span of every run from the workers."""
        spans = []
        for name, member in self.workers_by_name.items():
            url = f'{member.url}/control/history'
            async with self._session.get(url) as reply:
                runs = await reply.json()
            spans += [
                invariants.Span(
                    run['id'],
                    name,
                    run['team'],
                    run['size']['slots'],
                    run['started_at'],
                    run['ended_at'],
                )
                for run in runs
            ]
        return spans

    async def wait_until(
        self, condition: Any, what: str, timeout_s: float = 30.0
    ) -> None:
        """Wait until an async condition returns true.

        Raises BedError on timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise BedError(f'timed out after {timeout_s} s: {what}') from error

    def kill(self, member: Member) -> None:
        """Kill a process with SIGKILL."""
        member.process.send_signal(signal.SIGKILL)

    def pause(self, member: Member) -> None:
        """Pause a process with SIGSTOP."""
        member.process.send_signal(signal.SIGSTOP)

    def resume(self, member: Member) -> None:
        """Resume a paused process with SIGCONT."""
        member.process.send_signal(signal.SIGCONT)

    async def stop(self, member: Member) -> int:
        """Stop a process with SIGTERM; return its exit code."""
        member.process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await member.process.wait()

    def print_logs(self, max_lines: int = 30) -> None:
        """Print the last log lines of each node to stderr."""
        for node in self.nodes_by_name.values():
            if node.log is not None:
                lines = node.log.read_text().splitlines()[-max_lines:]
                text = '\n'.join(lines)
                sys.stderr.write(f'--- {node.name}\n{text}\n')

    async def run_caller(
        self, node: Member, kind: str, queue: str, **options: float
    ) -> dict[str, Any]:
        """Run a caller as a process; return the summary of its answers."""
        flags = [f'--{name}={value}' for name, value in options.items()]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'celeryshift_standins.caller',
            node.url,
            kind,
            queue,
            *flags,
            stdout=asyncio.subprocess.PIPE,
        )
        self._members.append(Member('caller', '', process))
        async with asyncio.timeout(STOP_TIMEOUT_S):
            output, _ = await process.communicate()
        return json.loads(output)

    async def _start(self, name: str, *arguments: str) -> Member:
        log_path = self.folder / f'{name}.log'
        log = self._exit_stack.enter_context(log_path.open('wb'))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
        )
        member = Member(name, '', process, log=log_path)
        self._members.append(member)
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
        if not line.startswith(b'listening '):
            raise BedError(f'{name} did not start: {log_path.read_text()}')
        member.address = line.decode().split()[1]
        return member


def _vm_entry(
    member: Member, upstream: str, rack: str, slots: int
) -> dict[str, Any]:
    return {
        'name': member.name,
        'role': 'worker',
        'address': member.address,
        'data_centre': member.data_centre,
        'rack': rack,
        'upstream': upstream,
        'state': 'live',
        'capacity': {
            'slots': slots,
            'cpu_milli': 32_000,
            'memory_mb': 131_072,
            'accelerators': 0,
        },
    }


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
