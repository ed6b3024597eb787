"""A soak of the real programs: random faults from outside, by a seed.

Nodes run as processes of their own; a loopback proxy stands between each of
them and the store, and in front of each worker. While faults come, callers
hand jobs in and repeat a call in doubt; at the end every promise is checked
from what callers and workers saw.

Run seeds by hand: ``python -m tests.soak 1 50``.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
from typing import Any

import aiohttp
from tests import site
from tests import test_cell_processes as processes

FAULTS_S = 12.0
# Leases, doubts and what is left of the work end within this.
CALM_S = 25.0
JOBS_PER_S = 6.0
TRIES = 12
RETRY_S = 0.4
CHUNK_BYTES = 65536
ACCEPTED = 200
# The caller may not take these as a refusal.
IN_DOUBT = 504
# What the store does for a while: turns everybody away, is slow, or leaves
# transactions that it carries out without an answer.
STORE_FAULTS = {
    'away': ('is_away', True),
    'slow': ('latency_s', 0.45),
    'lost': ('lost_share', 0.3),
}
KINDS = (
    *STORE_FAULTS,
    'configure',
    'deaf store',
    'deaf worker',
    'delay',
    'herd',
    'kill',
    'pause',
    'reset',
    'sick worker',
    'term',
)


class Proxy:
    """Pass bytes on, unless a fault says otherwise."""

    def __init__(self, port: int) -> None:
        self._target = port
        self.port = 0
        self.delay_s = 0.0
        # No byte passes in these directions, and no error tells so.
        self.is_deaf = False
        self.is_mute = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, site.LOOPBACK, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Break every connection off."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there = await asyncio.open_connection(site.LOOPBACK, self._target)
        except OSError:
            # Nobody there: the caller sees a reset, as without a proxy.
            writer.transport.abort()
            return
        self._writers |= {writer, there[1]}
        await asyncio.gather(
            self._pass(reader, there[1], 'is_deaf'),
            self._pass(there[0], writer, 'is_mute'),
        )
        self._writers -= {writer, there[1]}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if getattr(self, fault):
                    # What was held up is lost, and the connection with it.
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


class Soak:
    """Play one seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self._folder = folder
        self.site = site.FakePlatform()
        self.programs: list[processes.Program] = []
        self.stores: list[Proxy] = []
        self.workers: list[Proxy] = []
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.faults: list[str] = []
        self._restarting: set[str] = set()
        self._version = 1
        self._pending: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Start everything, let faults come, and check what was promised."""
        await self.site.start()
        try:
            await self._start()
            async with aiohttp.ClientSession() as session:
                self._session = session
                callers = asyncio.create_task(self._press())
                await self._hurt()
                await self._heal()
                await callers
                await self._check()
        finally:
            for program in self.programs:
                if program.process is not None:
                    program.process.send_signal(signal.SIGCONT)
                    await program.end()
            for proxy in (*self.stores, *self.workers):
                await proxy.close()
            await self.site.close()

    async def _start(self) -> None:
        for worker in self.site.workers:
            proxy = Proxy(worker.port)
            await proxy.start()
            self.workers.append(proxy)
            # Nodes reach the worker through the proxy from now on.
            worker.port = proxy.port
        for number in range(processes.NODES):
            proxy = Proxy(self.site.port)
            await proxy.start()
            self.stores.append(proxy)
            program = processes.Program(
                f'n{number}', self.site, self._folder, proxy.port
            )
            await program.start()
            self.programs.append(program)
        await processes.until(
            lambda: any(p.owns for p in self.programs), processes.START_S
        )

    async def _press(self) -> None:
        calls = []
        for number in range(int(FAULTS_S * JOBS_PER_S)):
            calls.append(asyncio.create_task(self._submit(number)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*calls)

    async def _submit(self, number: int) -> None:
        job = processes.job_id(number)
        tasks = self.random.randint(1, 4)
        body = processes.job_body(tasks, self.random.uniform(0.1, 1.5))
        for _ in range(TRIES):
            program = self.random.choice(self.programs)
            try:
                async with asyncio.timeout(4.0):
                    status, _ = await processes.call(
                        self._session, program, 'POST', job, body
                    )
            except (aiohttp.ClientError, OSError, TimeoutError):
                status = IN_DOUBT
            self.statuses[job].append(status)
            if status == ACCEPTED:
                return
            await asyncio.sleep(RETRY_S)

    async def _hurt(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + FAULTS_S
        while loop.time() < until:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            await self._strike()

    async def _strike(self) -> None:
        kind = self.random.choice(KINDS)
        lasts_s = self.random.uniform(0.2, 4.0)
        self.faults.append(f'{kind} {lasts_s:.1f}')
        program = self.random.choice(self.programs)
        if kind == 'kill':
            await self._restart(program, signal.SIGKILL)
        elif kind == 'term':
            await self._restart(program, signal.SIGTERM)
        elif kind == 'herd':
            for each in self.programs:
                await self._restart(each, signal.SIGKILL)
        elif kind == 'pause':
            if program.process is None or program.name in self._restarting:
                return
            program.process.send_signal(signal.SIGSTOP)
            self._later(lasts_s, self._resume(program))
        elif kind == 'reset':
            self.random.choice([*self.stores, *self.workers]).reset()
        elif kind == 'configure':
            self._version += 1
            self.site.configure(self._version)
        elif kind in ('deaf store', 'deaf worker'):
            side = self.stores if kind == 'deaf store' else self.workers
            proxy = self.random.choice(side)
            proxy.is_deaf = self.random.random() < 0.6
            proxy.is_mute = not proxy.is_deaf or self.random.random() < 0.5
            self._later(lasts_s, self._clear(proxy))
        elif kind == 'delay':
            proxy = self.random.choice([*self.stores, *self.workers])
            proxy.delay_s = self.random.uniform(0.02, 0.4)
            self._later(lasts_s, self._clear(proxy))
        elif kind == 'sick worker':
            worker = self.random.choice(self.site.workers)
            self._for_a_while(worker, 'is_sick', True, lasts_s)
        else:
            name, value = STORE_FAULTS[kind]
            holder = self.site.rows if name == 'latency_s' else self.site
            self._for_a_while(holder, name, value, lasts_s)

    def _for_a_while(
        self, holder: Any, name: str, value: Any, lasts_s: float
    ) -> None:
        async def undo() -> None:
            setattr(holder, name, type(value)())

        setattr(holder, name, value)
        self._later(lasts_s, undo())

    def _later(self, delay_s: float, work: Any) -> None:
        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await work

        self._pending.append(asyncio.create_task(wait()))

    async def _resume(self, program: processes.Program) -> None:
        assert program.process is not None
        with contextlib.suppress(ProcessLookupError):
            program.process.send_signal(signal.SIGCONT)

    async def _clear(self, proxy: Proxy) -> None:
        proxy.is_deaf = proxy.is_mute = False
        proxy.delay_s = 0.0
        proxy.reset()

    async def _restart(
        self, program: processes.Program, number: signal.Signals
    ) -> None:
        process = program.process
        if process is None or program.name in self._restarting:
            return
        self._restarting.add(program.name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)

        async def again() -> None:
            await process.wait()
            await program.start()
            self._restarting.discard(program.name)

        self._later(0.3, again())

    async def _heal(self) -> None:
        await asyncio.gather(*self._pending)
        self.site.is_away = False
        for proxy in (*self.stores, *self.workers):
            await self._clear(proxy)

    async def _check(self) -> None:
        accepted = [j for j, s in self.statuses.items() if ACCEPTED in s]
        loop = asyncio.get_running_loop()
        until = loop.time() + CALM_S
        left = set(accepted)
        while left and loop.time() < until:
            for job in sorted(left):
                if await self._is_completed(job):
                    left.discard(job)
            await asyncio.sleep(0.2)
        assert not left, f'accepted, and never ended: {sorted(left)}'
        self._check_workers()

    async def _is_completed(self, job: str) -> bool:
        program = self.random.choice(self.programs)
        try:
            async with asyncio.timeout(4.0):
                status, answer = await processes.call(
                    self._session, program, 'GET', job
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        assert status != 410, f'{job} was accepted, and is not known'
        return status == 200 and answer['state'] == 'completed'

    def _check_workers(self) -> None:
        done = collections.Counter(
            task for worker in self.site.workers for task in worker.done
        )
        twice = [task for task, times in done.items() if times > 1]
        assert not twice, f'done twice: {twice}'
        for job, statuses in self.statuses.items():
            if ACCEPTED in statuses or IN_DOUBT in statuses:
                continue
            ran = [task for task in done if task.startswith(job)]
            assert not ran, f'{job} was refused, and ran'


def play(seed: int) -> list[str]:
    """Play a seed; gives the faults that came."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, pathlib.Path(folder))
        try:
            asyncio.run(soak.play())
        except Exception as error:
            error.add_note(f'seed {seed}, faults {soak.faults}')
            raise
        return soak.faults


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    failed = 0
    for number in range(first, last):
        try:
            play(number)
        except Exception as error:
            failed += 1
            notes = '; '.join(getattr(error, '__notes__', ()))
            sys.stdout.write(f'seed {number}: {error!r} {notes}\n')
    sys.stdout.write(f'{last - first} seeds, {failed} failed\n')
