"""Node process: serves clients, follows the store and may own the cell."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import gc
import signal
import time
from typing import Any
from typing import Protocol
import uuid

from aiohttp import web

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cellnode import _advicerelay
from celeryshift_cellnode import _clientserver
from celeryshift_cellnode import _configurations
from celeryshift_cellnode import _connectivity
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _logs
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _memory
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _pruning
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _runnerfactory
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_cellnode import service
from celeryshift_net import exchanges
from celeryshift_net import servers

# How long a node still accepts connections after it starts to shut down. The
# load balancer needs two failed readiness checks, a second apart, to stop
# sending them.
DRAIN_S = 3.2
# Time for calls in progress after the node stops accepting connections.
LAST_RESPONSES_S = 1.0
# How long a handover waits for writes in flight.
FLUSH_TIMEOUT_S = 0.5
# Delay before the rows of the cell are read again after a failure.
RESTORE_RETRY_DELAY_S = 0.2
# Margin added to the time until which workers may obey a former owner.
CLOCK_MARGIN_S = 0.1
# Delay before failed background work is restarted.
RESTART_DELAY_S = 0.5


class Frontend(Protocol):
    """HTTP interface for clients."""

    # Whether connections are closed after their next response.
    is_closing: bool

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """Answer a request of a client."""


class Node:
    """Node that runs until SIGTERM."""

    def __init__(
        self,
        settings: ports.Settings,
        channels: exchanges.ChannelPool,
        store: ports.Store,
        workers: ports.Workers,
        policy_client: ports.PolicyClient,
        make_decoder: Callable[[Callable[..., None]], ports.Decoder],
        tables: ports.Tables,
        read_settings: Callable[[], dict[str, str]],
    ) -> None:
        self._settings = settings
        # Applies changed settings, and returns their new values by name.
        self._read_settings = read_settings
        self._tables = tables
        self._log = _logs.DecisionLog(settings.name)
        self._log_decision = self._log.write
        self._store = _watchedstore.WatchedStore(store, self._log_decision)
        self._metrics = _metrics.Metrics()
        self._servers = _clientserver.Servers(self._log_decision)
        self._decoder = make_decoder(self._log_decision)
        self._evacuations = _evacuations.Evacuations(tables, self._decoder)
        self._local_node = _schema.Node(
            settings.name,
            f'{settings.host}:{settings.peer_port}',
            uuid.uuid4().hex[:12],
            settings.data_centre,
            settings.cores,
            settings.link_mbps,
            settings.memory_mb,
        )
        self._peers = _peers.Peers(channels)
        self._membership = _membership.Membership(
            self._store,
            self._local_node,
            self._log_decision,
            self._handle_nodes_changed,
        )
        self._ownership = _ownership.Ownership(
            self._store,
            self._local_node,
            self._membership,
            self._peers,
            self._log_decision,
            self._start_owning,
            self._stop_owning,
        )
        self._configurations = _configurations.Configurations(
            self._store,
            tables,
            self._decoder,
            self._evacuations,
            settings.cell.evacuation_s,
            self._peers,
            self._ownership,
            self._membership,
            self._local_node,
            self._log_decision,
            self._handle_configured,
            self._handle_evacuated,
        )
        self._ownership.is_configured = lambda: self._configurations.is_known
        self._advice_relay = _advicerelay.AdviceRelay(
            policy_client, self._local_node.address, self._peers
        )
        self._runner_factory = _runnerfactory.RunnerFactory(
            settings,
            self._store,
            workers,
            self._advice_relay,
            self._membership,
            self._ownership,
            self._log_decision,
            self._metrics,
        )
        self._connectivity = _connectivity.ConnectivityMonitor(
            self._store,
            self._peers,
            self._membership,
            settings.data_centre,
            self._log_decision,
        )
        owner_client = _connectivity.OwnerClient(
            self._peers, self._ownership, self._log_decision
        )
        self.service = service.Service(
            self._store,
            owner_client,
            self._log_decision,
            self._metrics,
            settings.store_limits.row_bytes,
            _memory.Allowance(lambda: self._membership.nodes),
        )
        self._runner: _runner.Runner | None = None
        self._followers: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def run(
        self,
        frontend: Frontend,
        client_address: tuple[str, int],
        readiness_address: tuple[str, int],
    ) -> None:
        """Serve until SIGTERM, then shut down without interrupting calls."""
        self._log_decision('started', incarnation=self._local_node.incarnation)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        peer_server = await self._serve_peers()
        readiness_server = await servers.listen(
            self._servers.make(
                'readiness',
                self._handle_readiness,
                _clientserver.readiness_limits(),
            ),
            *readiness_address,
        )
        client_server = await servers.listen(
            self._servers.make(
                'clients',
                frontend.handle_request,
                _clientserver.client_limits(
                    self._settings.memory_mb, self._settings.file_descriptors
                ),
            ),
            *client_address,
        )
        background = [
            loop.create_task(self._restart_on_failure(work))
            for work in (
                self._configurations.run,
                self._membership.run,
                self._ownership.run,
                self._connectivity.run,
                self._servers.run,
            )
        ]
        await self._stopping.wait()
        await self._leave(frontend, client_server)
        for task in background:
            task.cancel()
        await client_server.cleanup()
        await readiness_server.cleanup()
        await peer_server.cleanup()
        self._log_decision('stopped')

    async def _restart_on_failure(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Restart work that fails, since the node depends on it."""
        while True:
            try:
                await work()
            except Exception as error:
                self._log_decision(
                    'work_failed',
                    work=repr(work),
                    error=errors.describe(error),
                )
            await asyncio.sleep(RESTART_DELAY_S)

    def _handle_nodes_changed(self) -> None:
        if self._runner is not None:
            self._runner.handle_nodes_changed()
            self._runner.enqueue(self._limit_memory())

    def _limit_memory(self) -> events.MemoryLimited:
        """Return the event that limits the memory of the cell."""
        limit = _memory.cell_bytes(self._membership.nodes.values())
        return events.MemoryLimited(time.monotonic(), limit)

    def reload(self) -> None:
        """Apply the settings that may change while the node runs."""
        try:
            changes = self._read_settings()
        except errors.SettingsError as error:
            self._log_decision('settings_unreadable', error=str(error))
            return
        self._log_decision('reloaded', changes=changes)

    async def _leave(
        self, frontend: Frontend, client_server: web.ServerRunner
    ) -> None:
        started_at = time.monotonic()
        self._log_decision('stopping', owner=self._ownership.is_owner)
        frontend.is_closing = True
        if self._runner is not None:
            await self._flush(self._runner)
        self._ownership.is_leaving = True
        await self._ownership.handover.hand_over()
        await self._announce_departure()
        elapsed_s = time.monotonic() - started_at
        await asyncio.sleep(max(0.0, DRAIN_S - elapsed_s))
        for site in list(client_server.sites):
            await site.stop()
        await asyncio.sleep(LAST_RESPONSES_S)

    async def _flush(self, runner: _runner.Runner) -> None:
        """Store pending changes, which saves the next owner repeated work."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await runner.writer.flush()
        except TimeoutError:
            self._log_decision('not_flushed', within_s=FLUSH_TIMEOUT_S)

    async def _announce_departure(self) -> None:
        """Leave the membership, so that no promise is requested here."""
        owner = self._ownership.owner
        try:
            if owner is not None:
                body = {
                    'name': self._local_node.name,
                    'incarnation': self._local_node.incarnation,
                }
                await self._peers.call(owner.address, 'left', body)
            await self._membership.leave()
        except (errors.PeerError, errors.StoreError) as error:
            # Other nodes remove the row of this node when it is stale.
            self._log_decision('goodbye_not_heard', error=str(error))

    async def _handle_readiness(
        self, request: web.BaseRequest
    ) -> web.Response:
        is_ready = (
            self.service.configuration is not None
            and not self._stopping.is_set()
            # If this data centre is cut off, others serve the clients.
            and not self._connectivity.is_cut_off
        )
        return web.Response(status=200 if is_ready else 503)

    async def _serve_peers(self) -> web.ServerRunner:
        settings = self._settings
        server = _peers.PeerServer(
            self._render_metrics,
            self._log_decision,
            _clientserver.peer_budget(settings.memory_mb),
        )
        for name, handler in self.service.owner_service.handlers.items():
            server.add_handler(name, handler)
        for name, handler in self._configurations.handlers.items():
            server.add_handler(name, handler)
        server.add_handler('ping', self._ownership.handle_ping)
        server.add_handler('owner', self._ownership.handle_announcement)
        server.add_handler('promise', self._ownership.promises.handle_request)
        server.add_handler('resigned', self._ownership.handle_resignation)
        server.add_handler('advise', self._advice_relay.handle_request)
        server.add_handler('left', self._membership.handle_leave)
        server.add_handler('show', self._handle_show)
        server.add_handler('explain', self._handle_explain)
        return await servers.listen(
            self._servers.make(
                'nodes',
                server.handle_request,
                _clientserver.peer_limits(settings.file_descriptors),
            ),
            settings.host,
            settings.peer_port,
        )

    def _render_metrics(self) -> tuple[bytes, str]:
        for name, count in self._log.counters.items():
            self._metrics.set_gauge(name, count)
        for name, count in self._servers.gauges().items():
            self._metrics.set_gauge(name, count)
        if self._runner is not None:
            for name, value in self._runner.gauges().items():
                self._metrics.set_gauge(name, value)
        return self._metrics.render()

    async def _handle_show(self, body: Any) -> dict[str, Any]:
        view = self._ownership.view
        shown: dict[str, Any] = {
            'node': self._local_node.name,
            'owner': view.owner.node if view.owner else None,
            'epoch': view.owner.epoch if view.owner else None,
            'owner_seen_s': round(time.monotonic() - view.last_read_at, 1),
            'configuration': self.service.configuration
            and self.service.configuration.version,
            'is_cut_off': self._connectivity.is_cut_off,
            'store_is_away': self._store.is_unavailable,
            'nodes': sorted(self._membership.nodes),
            'evacuated': sorted(self._evacuations.data_centres),
        }
        if self._runner is not None:
            shown['cell'] = cell.describe(self._runner.state)
        return shown

    async def _handle_explain(self, body: Any) -> dict[str, Any]:
        if self._runner is None:
            return {'is_owner': False}
        result = cell.explain(self._runner.state, body['job'])
        return {'is_owner': True, 'job': result}

    def _handle_configured(self, configuration: ports.Configuration) -> None:
        self.service.configure(configuration)
        if self._runner is not None:
            self._runner.enqueue(
                events.ConfigChanged(time.monotonic(), configuration.cell)
            )

    def _handle_evacuated(self, evacuated: frozenset[str]) -> None:
        if self._runner is not None:
            self._runner.enqueue(
                events.EvacuationsChanged(time.monotonic(), evacuated)
            )

    async def _start_owning(
        self, owner: _schema.Owner, version: int, former_owner_until: float
    ) -> None:
        """Restore the cell from the store, and start to order workers."""
        self._stop_owning('cell acquired again')
        # The writer renews the lease while the rows are read.
        writer = self._runner_factory.make_writer(version)
        try:
            restored = await self._restore(version, writer)
        except Exception:
            writer.close()
            raise
        if restored is None:
            writer.close()
            return
        workers, workers_version = restored[1]
        runner = self._runner_factory.make_runner(owner, writer)
        options = runner.state.options
        # The last lease that the former owner granted to a worker may last
        # this long: the worker's clock may be slow, and if the worker has
        # restarted, it has read the deadline on a clock that started anew.
        lease_s = options.max_lease_s / (1 - options.clock_drift)
        in_doubt_until = former_owner_until + lease_s + CLOCK_MARGIN_S
        runner.enqueue(self._limit_memory())
        await runner.restore(restored[0])
        if not self._owns_version(version):
            runner.close()
            return
        now = time.monotonic()
        configuration = self.service.configuration
        if configuration is not None:
            runner.enqueue(events.ConfigChanged(now, configuration.cell))
        runner.enqueue(events.WorkersChanged(now, tuple(workers)))
        evacuated = self._evacuations.data_centres
        runner.enqueue(events.EvacuationsChanged(now, evacuated))
        runner.enqueue(
            restored[0].to_event(
                in_doubt_until, former_owner_until, has_jobs=False
            )
        )
        self._runner = self.service.owner_service.runner = runner
        loop = asyncio.get_running_loop()
        jobs_follower = _followers.JobsFollower(
            self._store, runner, self._log_decision
        )
        workers_follower = _followers.WorkersFollower(
            self._store,
            self._tables,
            self._decoder,
            runner,
            self._log_decision,
        )
        pruner = _pruning.Pruner(
            self._store,
            writer,
            self._settings.final_state_retention_s,
            self._log_decision,
        )
        self._followers = [
            loop.create_task(self._restart_on_failure(work))
            for work in (
                lambda: jobs_follower.run(restored[0].version),
                pruner.run,
                lambda: workers_follower.run(
                    {entry.id for entry in workers}, workers_version
                ),
            )
        ]
        # The former owner may have ended before it told all nodes.
        self._configurations.announce()

    async def _restore(
        self, version: int, writer: _groupwriter.GroupWriter
    ) -> Any:
        """Read the rows of the cell, all workers and the evacuations.

        Returns the results of ``_records.restore`` and
        ``_followers.read_workers``, or None if this node no longer owns the
        cell under this version of the owner row.
        """
        while self._owns_version(version):
            try:
                result = await asyncio.gather(
                    _records.restore(self._store, writer, self._log_decision),
                    _followers.read_workers(
                        self._store, self._tables, self._decoder
                    ),
                    # This node's follower may lag behind the former owner's.
                    self._evacuations.read(self._store),
                )
            except errors.StoreError as error:
                self._log_decision('rows_not_read', error=str(error))
                await asyncio.sleep(RESTORE_RETRY_DELAY_S)
            else:
                # The ownership may have been lost while the rows were read.
                return result if self._owns_version(version) else None
        return None

    def _owns_version(self, version: int) -> bool:
        ownership = self._ownership
        return ownership.is_owner and ownership.view.owner_version == version

    def _stop_owning(self, reason: str) -> None:
        if self._runner is None:
            return
        self._log_decision('orders_end', why=reason, epoch=self._runner.epoch)
        self._runner.close()
        self._runner = self.service.owner_service.runner = None
        # The state has cycles. If this node acquires the cell again, both
        # states would be in memory.
        gc.collect()
        for task in self._followers:
            task.cancel()
