"""The service: it starts a node, and ends it gracefully."""

import asyncio
import sys
from typing import Any

from aiohttp import web
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

BACKLOG = 1024


class NodeService(aiomisc.Service):
    """Run a node until it is told to stop."""

    settings: _settings.Settings

    async def start(self) -> Any:
        """Serve, then work until the node has stopped."""
        settings = self.settings
        per_worker = settings.bounds.max_connections_per_worker
        context = _tls.client_context(settings.tls)
        self._channels = pools.ChannelPool(per_worker, context)
        self._web, address = await self._listen()
        self._runner = self._make_runner(address)
        self._api.runner = self._runner
        self._runner.start()
        sys.stdout.write(f'listening {address}\n')
        sys.stdout.flush()
        metrics = None
        if settings.statsd is not None:
            work = _metrics.Metrics(
                self._runner, self._channels.counters, settings.statsd
            )
            metrics = asyncio.create_task(work.run())
        self.start_event.set()
        await self._runner.stopped.wait()
        if metrics is not None:
            metrics.cancel()
        self.loop.stop()

    async def stop(self, exception: Exception | None = None) -> None:
        """Hand over what the node holds, answer all, and close."""
        bounds = self.settings.bounds
        self._runner.handle(events.DrainRequested(self._runner.now))
        try:
            async with asyncio.timeout(bounds.drain_timeout_s):
                await self._runner.stopped.wait()
        except TimeoutError:
            _runner.log.warning('drain did not end in time')
        # The balancer needs time to see that this node is not ready.
        await asyncio.sleep(bounds.idle_grace_s)
        await self._web.refuse()
        # A client may be sending on an open connection: it gets its answer.
        await asyncio.sleep(bounds.idle_grace_s)
        await self._web.cleanup()
        await self._runner.close()
        await self._workers.close()
        await self._channels.close()

    async def _listen(self) -> tuple[_listener.Listener, str]:
        listen = self.settings.listen
        self._api = _http.Api(self.settings)
        runner = _listener.Listener(
            self._api.app(),
            self._api.first_request_timeouts,
            self.settings.bounds,
        )
        await runner.setup()
        site = web.TCPSite(
            runner,
            listen.host,
            listen.port,
            backlog=BACKLOG,
            ssl_context=_tls.server_context(self.settings.tls),
        )
        await site.start()
        port = runner.addresses[0][1]
        host = listen.advertise_host or listen.host
        return runner, f'{host}:{port}'

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
