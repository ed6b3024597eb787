"""Service that starts a node and shuts it down gracefully."""

import asyncio
import sys
from typing import Any

import aiomisc

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _http
from celeryshift_node import _listener
from celeryshift_node import _metrics
from celeryshift_node import _peers
from celeryshift_node import _platform
from celeryshift_node import _runner
from celeryshift_node import _settings
from celeryshift_node import _tls
from celeryshift_node import _workers

LISTEN_BACKLOG = 1024


class NodeService(aiomisc.Service):
    """Service that runs a node until it is stopped."""

    settings: _settings.Settings

    async def start(self) -> Any:
        """Start the node, and wait until it has stopped."""
        settings = self.settings
        max_connections = settings.bounds.max_connections_per_worker
        context = _tls.client_context(settings.tls)
        self._channels = pools.ChannelPool(max_connections, context)
        self._listener, address = await self._listen()
        self._runner = self._make_runner(address)
        self._api.runner = self._runner
        self._runner.start()
        sys.stdout.write(f'listening {address}\n')
        sys.stdout.flush()
        metrics_task = None
        if settings.statsd is not None:
            sender = _metrics.Metrics(
                self._runner,
                self._channels.counters,
                settings.statsd,
                self._listener.connections,
            )
            metrics_task = asyncio.create_task(sender.run())
        self.start_event.set()
        await self._runner.stopped.wait()
        if metrics_task is not None:
            metrics_task.cancel()
        self.loop.stop()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the node, answer open calls and close all connections."""
        bounds = self.settings.bounds
        self._runner.handle(events.DrainRequested(self._runner.now))
        try:
            async with asyncio.timeout(bounds.drain_timeout_s):
                await self._runner.stopped.wait()
        except TimeoutError:
            _runner.log.warning('drain did not complete in time')
        # The load balancer needs time to detect that this node is not ready.
        await asyncio.sleep(bounds.idle_grace_s)
        await self._listener.stop_accepting()
        # Calls that still arrive on open connections are answered.
        await asyncio.sleep(bounds.idle_grace_s)
        await self._listener.cleanup()
        await self._runner.close()
        await self._workers.close()
        await self._channels.close()

    async def _listen(self) -> tuple[_listener.Listener, str]:
        listen = self.settings.listen
        self._api = _http.Api(self.settings)
        listener = _listener.Listener(self._api.app(), self.settings.bounds)
        await listener.setup()
        await listener.listen(
            listen.host,
            listen.port,
            LISTEN_BACKLOG,
            _tls.server_context(self.settings.tls),
        )
        port = listener.addresses[0][1]
        host = listen.advertise_host or listen.host
        return listener, f'{host}:{port}'

    def _make_runner(self, address: str) -> _runner.Runner:
        settings = self.settings
        timing = core.unstructure(settings.timing)
        options = core.Options(
            address, settings.data_centre, settings.slices, **timing
        )
        channels = self._channels
        self._workers = _workers.Workers(
            channels,
            settings.bounds.silent_after_s,
            _tls.scheme(settings.tls is not None and settings.tls.workers),
        )
        return _runner.Runner(
            options,
            _platform.Platform(channels, settings.platform_url),
            self._workers,
            lambda node: _peers.Peers(
                channels,
                settings.cluster_token,
                node,
                _tls.scheme(settings.tls is not None),
            ),
        )
