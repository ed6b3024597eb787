"""A node: it serves callers, follows the store, and may own the cell."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
import time
from typing import Any
from typing import Protocol
import uuid

from aiohttp import web

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cellnode import _advisers
from celeryshift_cellnode import _election
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _logs
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _pruning
from celeryshift_cellnode import _reach
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_cellnode import service
from celeryshift_net import pools

# The balancer needs two misses, a second apart, to see that a node leaves.
LEAVE_S = 3.2
# Kept from the time to stop for answers that are under way.
LAST_ANSWERS_S = 1.0
# A handover waits so long for what is on its way to the store.
FLUSH_S = 0.5
BACKLOG = 512
KEEPALIVE_S = 75.0
# Pause before a takeover whose rows could not be read is tried again.
RESTORE_PAUSE_S = 0.2
CLOCK_SLACK_S = 0.1
# Pause before background work that has failed is started anew.
RESTART_PAUSE_S = 0.5


class Front(Protocol):
    """Translate the calls of clients."""

    is_closing: bool

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """Answer a client."""


class Node:
    """Run a node until it is told to stop."""

    def __init__(
        self,
        settings: ports.Settings,
        channels: pools.ChannelPool,
        store: ports.Store,
        workers: ports.Workers,
        adviser: ports.PolicyClient,
        make_decoder: Callable[[Callable[..., None]], ports.Decoder],
        tables: ports.Tables,
        read_settings: Callable[[], dict[str, str]],
    ) -> None:
        self._settings = settings
        # Gives what has changed, by the name of the setting.
        self._read_settings = read_settings
        self._workers = workers
        self._adviser = adviser
        self._tables = tables
        self._log = _logs.DecisionLog(settings.name)
        self._note = self._log.write
        self._store = _watchedstore.WatchedStore(store, self._note)
        self._metrics = _metrics.Metrics()
        self._decoder = make_decoder(self._note)
        self._me = _schema.Node(
            settings.name,
            f'{settings.host}:{settings.peer_port}',
            uuid.uuid4().hex[:12],
            settings.data_centre,
            settings.cores,
            settings.link_mbps,
        )
        self._peers = _peers.Peers(channels)
        self._membership = _membership.Membership(
            self._store, self._me, self._note
        )
        self._ownership = _ownership.Ownership(
            self._store,
            self._me,
            self._membership,
            self._peers,
            self._note,
            self._own,
            self._disown,
        )
        self._reach = _reach.Reach(
            self._store,
            self._peers,
            self._membership,
            settings.data_centre,
            self._note,
        )
        link = _reach.OwnerLink(self._peers, self._ownership, self._note)
        self.service = service.Service(
            self._store, link, self._note, self._metrics
        )
        self._runner: _runner.Runner | None = None
        self._followers: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def run(
        self,
        front: Front,
        callers: tuple[str, int],
        readiness: tuple[str, int],
    ) -> None:
        """Serve until SIGTERM, then leave without cutting a call."""
        self._note('started', incarnation=self._me.incarnation)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        peers = await self._serve_peers()
        ready = await _listen(self._ready, *readiness)
        clients = await _listen(front.handle_request, *callers)
        background = [
            loop.create_task(self._forever(work))
            for work in (
                self._follow_configuration,
                self._membership.run,
                self._ownership.run,
                self._reach.run,
            )
        ]
        await self._stopping.wait()
        await self._leave(front, clients)
        for task in background:
            task.cancel()
        await clients.cleanup()
        await ready.cleanup()
        await peers.cleanup()
        self._note('stopped')

    async def _forever(self, work: Callable[[], Awaitable[None]]) -> None:
        """Start work anew if it fails, since nothing goes on without it."""
        while True:
            try:
                await work()
            except Exception as error:
                self._note('work_failed', work=repr(work), error=repr(error))
            await asyncio.sleep(RESTART_PAUSE_S)

    def reload(self) -> None:
        """Take over the settings that may change while a node runs."""
        try:
            changes = self._read_settings()
        except errors.SettingsError as error:
            self._note('settings_unreadable', error=str(error))
            return
        self._note('reloaded', changes=changes)

    async def _leave(self, front: Front, clients: web.ServerRunner) -> None:
        began = time.monotonic()
        self._note('stopping', owner=self._ownership.is_owner)
        front.is_closing = True
        if self._runner is not None:
            await self._flush(self._runner)
        self._ownership.is_leaving = True
        await self._ownership.hand_over()
        await self._say_goodbye()
        spent_s = time.monotonic() - began
        await asyncio.sleep(max(0.0, LEAVE_S - spent_s))
        for site in list(clients.sites):
            await site.stop()
        await asyncio.sleep(LAST_ANSWERS_S)

    async def _flush(self, runner: _runner.Runner) -> None:
        """Store what waits, so that the next owner need not ask again."""
        try:
            async with asyncio.timeout(FLUSH_S):
                await runner.journal.flush()
        except TimeoutError:
            self._note('not_flushed', within_s=FLUSH_S)

    async def _say_goodbye(self) -> None:
        """Let the owner need no promise of this node any more."""
        owner = self._ownership.owner
        try:
            if owner is not None:
                body = {
                    'name': self._me.name,
                    'incarnation': self._me.incarnation,
                }
                await self._peers.call(owner.address, 'left', body)
            await self._membership.leave()
        except (errors.PeerError, errors.StoreError) as error:
            # It is forgotten later, when its row grows old.
            self._note('goodbye_not_heard', error=str(error))

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        is_ready = (
            self.service.configuration is not None
            and not self._stopping.is_set()
            # Clients of a zone that is cut off are served by others.
            and not self._reach.is_cut_off
        )
        return web.Response(status=200 if is_ready else 503)

    async def _serve_peers(self) -> web.ServerRunner:
        server = _peers.PeerServer(self._metrics_text, self._note)
        for name, handler in self.service.desk.handlers.items():
            server.serve(name, handler)
        server.serve('ping', self._ownership.ping)
        server.serve('owner', self._ownership.announced)
        server.serve('promise', self._ownership.promise)
        server.serve('resigned', self._ownership.resigned)
        server.serve('advise', self._advise)
        server.serve('left', self._membership.left)
        server.serve('show', self._show)
        server.serve('explain', self._explain)
        settings = self._settings
        return await server.start(settings.host, settings.peer_port)

    def _metrics_text(self) -> tuple[bytes, str]:
        for name, count in self._log.counters.items():
            self._metrics.gauge(name, count)
        if self._runner is not None:
            state = self._runner.state
            self._metrics.gauge('jobs', len(state.jobs))
            self._metrics.gauge('steps_waiting', len(state.waiting))
            self._metrics.gauge('workers', len(state.workers))
        return self._metrics.text()

    async def _show(self, body: Any) -> dict[str, Any]:
        view = self._ownership.view
        shown: dict[str, Any] = {
            'node': self._me.name,
            'owner': view.owner.node if view.owner else None,
            'epoch': view.owner.epoch if view.owner else None,
            'owner_seen_s': round(time.monotonic() - view.looked_at, 1),
            'configuration': self.service.configuration
            and self.service.configuration.version,
            'is_cut_off': self._reach.is_cut_off,
            'store_is_away': self._store.is_away,
            'nodes': sorted(self._membership.nodes),
        }
        if self._runner is not None:
            shown['cell'] = cell.describe(self._runner.state)
        return shown

    async def _explain(self, body: Any) -> dict[str, Any]:
        if self._runner is None:
            return {'is_owner': False}
        found = cell.explain(self._runner.state, body['job'])
        return {'is_owner': True, 'job': found}

    async def _advise(self, body: Any) -> dict[str, Any]:
        advised = await self._adviser.advise(
            body['step'], body['workers'], body['timeout_s']
        )
        return {
            'tickets': dict(advised.tickets_by_worker),
            'validity_ms': advised.validity_ms,
        }

    async def _ask_adviser(
        self, address: str, step: str, workers: list[str], timeout_s: float
    ) -> ports.AdviceResult:
        if address == self._me.address:
            return await self._adviser.advise(step, workers, timeout_s)
        body = {'step': step, 'workers': workers, 'timeout_s': timeout_s}
        answer = await self._peers.call(address, 'advise', body, timeout_s)
        return ports.AdviceResult(answer['tickets'], answer['validity_ms'])

    async def _follow_configuration(self) -> None:
        follower = _followers.ConfigurationFollower(
            self._store, self._tables, self._decoder, self._note
        )
        async for configuration in follower.follow():
            self.service.configure(configuration)
            self._note('configuration', version=configuration.version)
            if self._runner is not None:
                self._runner.feed(
                    events.ConfigChanged(time.monotonic(), configuration.cell)
                )

    async def _own(
        self, owner: _schema.Owner, version: int, former_until: float
    ) -> None:
        """Read the rows of the cell, and begin to give orders."""
        self._disown('taken anew')
        # It renews the right to act while the rows are read.
        journal = self._make_journal(version)
        restored = await self._restore(version)
        if restored is None:
            journal.close()
            return
        workers, workers_version = restored[1]
        runner = self._make_runner(owner, journal)
        options = runner.state.options
        lease_s = options.lease_s / (1 - options.clock_drift)
        doubt_until = former_until + lease_s + CLOCK_SLACK_S
        now = time.monotonic()
        configuration = self.service.configuration
        if configuration is not None:
            runner.feed(events.ConfigChanged(now, configuration.cell))
        runner.feed(events.WorkersChanged(now, tuple(workers)))
        runner.feed(restored[0].event(doubt_until, former_until))
        self._runner = self.service.desk.runner = runner
        loop = asyncio.get_running_loop()
        jobs = _followers.JobsFollower(self._store, runner, self._note)
        listed = _followers.WorkersFollower(
            self._store, self._tables, self._decoder, runner, self._note
        )
        pruner = _pruning.Pruner(
            self._store,
            journal,
            self._settings.final_state_retention_s,
            self._note,
        )
        self._followers = [
            loop.create_task(jobs.run(restored[0].version)),
            loop.create_task(pruner.run()),
            loop.create_task(
                listed.run({entry.id for entry in workers}, workers_version)
            ),
        ]

    async def _restore(self, version: int) -> Any:
        while self._owns(version):
            try:
                found = await asyncio.gather(
                    _records.restore(self._store),
                    _followers.read_workers(
                        self._store, self._tables, self._decoder
                    ),
                )
            except errors.StoreError as error:
                self._note('rows_not_read', error=str(error))
                await asyncio.sleep(RESTORE_PAUSE_S)
            else:
                # The cell may have been lost while the rows were read.
                return found if self._owns(version) else None
        return None

    def _owns(self, version: int) -> bool:
        ownership = self._ownership
        return ownership.is_owner and ownership.view.owner_version == version

    def _make_journal(self, version: int) -> _groupwriter.GroupWriter:
        ownership = self._ownership
        return _groupwriter.GroupWriter(
            self._store,
            version,
            ownership.view.beat_version,
            ownership.right,
            self._note,
            ownership.step_down,
        )

    def _make_runner(
        self, owner: _schema.Owner, journal: _groupwriter.GroupWriter
    ) -> _runner.Runner:
        told = self._settings.cell
        # Over a limit once, not once more for each owner in a row.
        former_s = self._ownership.view.former_known_s
        is_settled = former_s > _election.SETTLED_S
        options = cell.Options(
            lease_s=min(told.max_lease_s, cell.Options().lease_s),
            in_doubt_overage=told.team_overage if is_settled else 0.0,
        )
        return _runner.Runner(
            owner.epoch,
            options,
            self._ownership.right,
            self._workers,
            _advisers.Advisers(
                self._ask_adviser, lambda: self._membership.addresses
            ),
            journal,
            self._note,
            self._metrics,
            self._ownership.step_down,
        )

    def _disown(self, why: str) -> None:
        if self._runner is None:
            return
        self._note('orders_end', why=why, epoch=self._runner.epoch)
        self._runner.close()
        self._runner = self.service.desk.runner = None
        for task in self._followers:
            task.cancel()


async def _listen(handler: Any, host: str, port: int) -> web.ServerRunner:
    server = web.Server(handler, access_log=None)
    server_runner = web.ServerRunner(
        server, access_log=None, keepalive_timeout=KEEPALIVE_S
    )
    await server_runner.setup()
    site = web.TCPSite(server_runner, host, port, backlog=BACKLOG)
    await site.start()
    return server_runner
