"""Faults of the soak test: what is injected, and how it is undone."""

import asyncio
import contextlib
import json
import random
import signal
import time
from typing import Any

from tests import oddvalues
from tests import proxies
from tests import site
from tests import siteworker
from tests import soakload
from tests import test_cell_processes as processes

# How long a crashed worker is down.
CRASHED_RANGE_S = (0.2, 3.0)
# Longest time for which nodes are lost together.
MAX_LOST_S = 9.5
# An evacuation takes effect within this time of the operator's write, and an
# order that is carried out late within a lease more.
EVACUATION_S = 5.0
MAX_EVACUATED_S = 10.0
LEASE_S = 4.2
# How long a worker or a data centre is cut off.
MIN_CUT_S = 3.0
MAX_CUT_S = 8.0
# How long a cut waits for a start, after which it begins.
START_WAIT_S = 3.0
# A worker moves while orders are on their way to its old address, and answers
# take this much longer to return. An order and its answer together stay below
# the timeout of a start.
MOVE_DELAY_S = 0.13
MOVED_S = 0.6
LATE_SHARE = 0.3
# Configurations of up to 1 MB, and the rate of a slow link.
MAX_ROUTES = 4000
SLOW_BYTES_PER_S = 625_000
# Faults of the store, each as the attribute to set and its value: the store
# refuses all calls, is slow, or commits a share of the transactions without
# answering in time.
STORE_FAULTS = {
    'away': ('is_away', True),
    'slow': ('latency_s', 0.45),
    'lost': ('lost_share', 0.3),
}
# Besides the faults of the store: new configurations, several and large ones
# (configure, grow), a slow link to the store (slow link), an entry of another
# writer (odd entry), a data centre that is evacuated for a while (evacuate),
# silent loss or delay at a proxy (deaf, delay), abort of its connections
# (reset), SIGKILL and restart of one program (kill) or of all (herd), also
# while the store is silent (herd away), incomplete calls of clients
# (incomplete), or a crowd of them that sends without end (misbehave), SIGTERM
# and restart (term), SIGSTOP for a while (pause),
# several nodes that freeze or lose power at once (lose nodes), and a worker
# whose runs make no progress (sick).
PROGRAM_FAULTS = (
    *STORE_FAULTS,
    'configure',
    'deaf store',
    'delay',
    'evacuate',
    'grow',
    'herd',
    'herd away',
    'incomplete',
    'kill',
    'lose nodes',
    'misbehave',
    'odd entry',
    'pause',
    'reset',
    'slow link',
    'term',
)
# A worker that is cut off right after a start (cut), or all of its data centre
# (cut zone); a restart under its id at the same port (restart worker) or at
# another one, with an order in flight (move); orders carried out late.
WORKER_FAULTS = (
    'cut',
    'cut zone',
    'deaf worker',
    'late orders',
    'move',
    'restart worker',
    'sick worker',
)
# SIGSTOP of the owner, and its restart while the other nodes are stopped, so
# that the same node acquires the cell again.
OWNER_FAULTS = ('owner again', 'pause owner')
FAULT_KINDS = (*PROGRAM_FAULTS, *WORKER_FAULTS, *OWNER_FAULTS)


class Faults:
    """Injector of random faults into a platform and the nodes on it."""

    def __init__(
        self,
        rng: random.Random,
        platform: site.FakePlatform,
        kinds: tuple[str, ...],
    ) -> None:
        self.rng = rng
        self.platform = platform
        self._kinds = kinds
        self.programs: list[processes.Program] = []
        self.store_proxies: list[proxies.Proxy] = []
        self.worker_proxies: list[proxies.Proxy] = []
        self.faults: list[str] = []
        # Data centre, and from when to when nothing may start there.
        self.evacuations: list[tuple[str, float, float]] = []
        self._last_fault_at = 0.0
        self._restarting: set[str] = set()
        # Version of the newest configuration.
        self._version = 1
        self._pending: list[asyncio.Task[None]] = []

    async def _inject_faults(self, faults_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + faults_s
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            self._inject(self.rng.choice(self._kinds))

    def _inject(self, kind: str) -> None:
        duration_s = self.rng.uniform(0.2, 4.0)
        if kind in ('cut', 'cut zone', 'pause owner'):
            duration_s = self.rng.uniform(MIN_CUT_S, MAX_CUT_S)
        elif kind == 'lose nodes':
            duration_s = self.rng.uniform(MIN_CUT_S, MAX_LOST_S)
        elif kind == 'evacuate':
            duration_s = self.rng.uniform(EVACUATION_S, MAX_EVACUATED_S)
        self.faults.append(f'{kind} {duration_s:.1f}')
        if kind in OWNER_FAULTS:
            self._inject_owner_fault(kind, duration_s)
        elif kind in WORKER_FAULTS:
            self._inject_worker_fault(kind, duration_s)
        else:
            self._inject_program_fault(kind, duration_s)

    def _inject_program_fault(self, kind: str, duration_s: float) -> None:
        program = self.rng.choice(self.programs)
        if kind == 'kill':
            self._restart(program, signal.SIGKILL)
        elif kind == 'term':
            self._restart(program, signal.SIGTERM)
        elif kind == 'herd':
            for each in self.programs:
                self._restart(each, signal.SIGKILL)
        elif kind == 'herd away':
            self._set_temporarily(self.platform, 'is_silent', True, duration_s)
            for each in self.programs:
                self._restart(each, signal.SIGKILL)
        elif kind == 'incomplete':
            self._schedule(
                0.0, soakload.send_incomplete(self.rng, program, duration_s)
            )
        elif kind == 'misbehave':
            self._schedule(
                0.0, soakload.misbehave(self.rng, program, duration_s)
            )
        elif kind == 'pause':
            self._pause(program, duration_s)
        elif kind == 'lose nodes':
            self._lose_nodes(duration_s)
        elif kind == 'reset':
            self.rng.choice(
                [*self.store_proxies, *self.worker_proxies]
            ).reset()
        elif kind == 'evacuate':
            self._schedule(0.0, self._evacuate(duration_s))
        elif kind == 'configure':
            self._version += 1
            self.platform.configure(self._version)
        elif kind == 'grow':
            self._schedule(0.0, self._grow())
        elif kind == 'odd entry':
            self._schedule(0.0, self._leave_odd_entry(duration_s))
        elif kind == 'slow link':
            proxy = self.rng.choice(self.store_proxies)
            self._set_temporarily(
                proxy, 'bytes_per_s', float(SLOW_BYTES_PER_S), duration_s
            )
        elif kind == 'deaf store':
            self._cut_partly(self.rng.choice(self.store_proxies), duration_s)
        elif kind == 'delay':
            proxy = self.rng.choice(
                [*self.store_proxies, *self.worker_proxies]
            )
            proxy.delay_s = self.rng.uniform(0.02, 0.4)
            self._schedule(duration_s, self._clear_proxy(proxy))
        else:
            name, value = STORE_FAULTS[kind]
            component = (
                self.platform.rows if name == 'latency_s' else self.platform
            )
            self._set_temporarily(component, name, value, duration_s)

    def _lose_nodes(self, duration_s: float) -> None:
        """Let some nodes freeze, or lose power and start again."""
        count = self.rng.randint(1, len(self.programs))
        is_power = self.rng.random() < 0.5
        for program in self.rng.sample(self.programs, count):
            self._pause(program, duration_s)
            if is_power:
                self._schedule(duration_s, self._kill(program))

    async def _grow(self) -> None:
        """Store several configurations with many routes."""
        for _ in range(self.rng.choice((1, 2, 5))):
            self._version += 1
            self.platform.configure(
                self._version, more_routes=self.rng.randint(0, MAX_ROUTES)
            )
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def _leave_odd_entry(self, duration_s: float) -> None:
        """Leave an entry of another writer among those of the workers."""
        entry = self.rng.choice(self.platform.workers).entry()
        entry['address'] = f'{siteworker.LOOPBACK}:1'
        fields = {name: json.dumps(value) for name, value in entry.items()}
        rows, name = self.platform.rows, f'i-odd-{len(self.faults)}'
        rows.put('servers', '', name, oddvalues.draw(self.rng, fields))
        await asyncio.sleep(duration_s)
        rows.remove('servers', '', name)

    async def _kill(self, program: processes.Program) -> None:
        self._restart(program, signal.SIGKILL)

    async def _evacuate(self, duration_s: float) -> None:
        """Evacuate a data centre for a while, and return it."""
        zone = self.rng.choice(site.ZONES)
        key = f'evacuate/{zone}'
        rows = self.platform.rows
        # The operator writes once the store answers.
        while self.platform.is_away or ('op', '', key) in rows.rows:
            await asyncio.sleep(siteworker.TICK_S)
        rows.put('op', '', key, b'{}')
        now = time.monotonic()
        since, until = now + EVACUATION_S, now + duration_s
        while now < until:
            last = now
            await asyncio.sleep(siteworker.TICK_S)
            now = time.monotonic()
            # While the store is away, nobody can read the row.
            since += (now - last) * self.platform.is_away
        self.evacuations.append((zone, since, now))
        rows.remove('op', '', key)

    def _inject_worker_fault(self, kind: str, duration_s: float) -> None:
        worker = self.rng.choice(self.platform.workers)
        if kind == 'deaf worker':
            self._cut_partly(self._proxy(worker), duration_s)
        elif kind == 'sick worker':
            self._set_temporarily(worker, 'is_sick', True, duration_s)
        elif kind == 'late orders':
            self._set_temporarily(worker, 'late_share', LATE_SHARE, duration_s)
        elif kind == 'restart worker':
            # Connections end with the process.
            self._proxy(worker).reset()
            self.platform.restart(worker)
        elif kind == 'move':
            self._schedule(0.0, self._move(worker))
        else:
            self._schedule(
                0.0, self._cut_after_start(duration_s, kind == 'cut zone')
            )

    def _crash(self, worker: siteworker.FakeWorker) -> None:
        """Let a worker be away for a while, with all that it runs."""
        # Few crashes follow the other faults, as their tasks are given up.
        self._last_fault_at = asyncio.get_running_loop().time()
        proxy = self._proxy(worker)
        proxy.reset()
        proxy.cut(True, True)
        worker.restart()
        worker.is_unreported = True

        async def come_back() -> None:
            worker.is_unreported = False
            proxy.clear()
            self.platform.write_workers()

        self._schedule(self.rng.uniform(*CRASHED_RANGE_S), come_back())

    def _inject_owner_fault(self, kind: str, duration_s: float) -> None:
        owners = [p for p in self.programs if p.owns]
        if len(owners) != 1:
            return
        if kind == 'pause owner':
            self._pause(owners[0], duration_s)
            return
        for program in self.programs:
            if program is not owners[0]:
                self._pause(program, self.rng.uniform(MIN_CUT_S, 5.0))
        self._restart(owners[0], signal.SIGKILL)

    def _proxy(self, worker: siteworker.FakeWorker) -> proxies.Proxy:
        assert worker.address is not None
        port = worker.address.port
        return next(p for p in self.worker_proxies if p.port == port)

    def _cut_partly(self, proxy: proxies.Proxy, duration_s: float) -> None:
        is_deaf = self.rng.random() < 0.6
        proxy.cut(is_deaf, not is_deaf or self.rng.random() < 0.5)
        self._schedule(duration_s, self._clear_proxy(proxy))

    async def _cut_after_start(self, duration_s: float, is_zone: bool) -> None:
        workers = self.platform.workers
        counts = {worker.name: len(worker.records) for worker in workers}
        started = [self.rng.choice(workers)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_S):
                while not any(
                    len(w.records) > counts[w.name] for w in workers
                ):
                    await asyncio.sleep(siteworker.TICK_S)
                started = [
                    w for w in workers if len(w.records) > counts[w.name]
                ]
        # Before or after the poll that extends the lease.
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        worker = self.rng.choice(started)
        is_deaf, is_mute = self.rng.choice(
            [(True, True), (True, True), (True, False), (False, True)]
        )
        cut = [
            self._proxy(each)
            for each in workers
            if each is worker or (is_zone and each.zone == worker.zone)
        ]
        for proxy in cut:
            proxy.cut(is_deaf, is_mute)
        await asyncio.sleep(duration_s)
        for proxy in cut:
            proxy.clear()

    async def _move(self, worker: siteworker.FakeWorker) -> None:
        proxy = self._proxy(worker)
        proxy.delay_s = MOVE_DELAY_S
        await asyncio.sleep(self.rng.uniform(0.05, MOVED_S))
        self.platform.move(worker)
        await asyncio.sleep(MOVED_S)
        proxy.clear()

    def _set_temporarily(
        self, component: Any, name: str, value: Any, duration_s: float
    ) -> None:
        async def undo() -> None:
            # False or 0.0, which is the value without the fault.
            setattr(component, name, type(value)())

        setattr(component, name, value)
        self._schedule(duration_s, undo())

    def _schedule(self, delay_s: float, action: Any) -> None:
        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await action

        self._pending.append(asyncio.create_task(wait()))

    def _pause(self, program: processes.Program, duration_s: float) -> None:
        if program.process is None or program.name in self._restarting:
            return
        with contextlib.suppress(ProcessLookupError):
            program.process.send_signal(signal.SIGSTOP)
        self._schedule(duration_s, self._resume(program))

    async def _resume(self, program: processes.Program) -> None:
        assert program.process is not None
        with contextlib.suppress(ProcessLookupError):
            program.process.send_signal(signal.SIGCONT)

    async def _clear_proxy(self, proxy: proxies.Proxy) -> None:
        proxy.clear()

    def _restart(
        self, program: processes.Program, signal_number: signal.Signals
    ) -> None:
        process = program.process
        if process is None or program.name in self._restarting:
            return
        self._restarting.add(program.name)
        with contextlib.suppress(ProcessLookupError):
            # A stopped process would not handle SIGTERM.
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)

        async def restart() -> None:
            await process.wait()
            await program.start()
            self._restarting.discard(program.name)

        self._schedule(0.3, restart())
