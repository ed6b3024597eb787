"""Nodes that follow the configuration over slow links, in virtual time."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
import urllib.parse

import orjson
from tests import linksim
from tests import virtualtime

from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_net import http1
from celeryshift_platform import _decode
from celeryshift_platform import _store
from celeryshift_standins import rowstore

STORE = 'store'
STORE_MBPS = 4000.0
# Links of the classes of nodes, as the bench plays them.
FAST_MBPS = 100.0
SLOW_MBPS = 5.0
# Bounds of the demanding sites: from the confirmation of a configuration, and
# from the end of the last fault that concerns a node.
APPLY_S = 3.0
CONTACT_S = 4.0
# Answer to a feed whose history is no longer kept.
HISTORY_LOST = 410
BUSY = 503
PROBE_S = 0.2
# As the operator's routes.
ROUTE_BYTES = 210


def document(version: int, routes: int) -> bytes:
    """Return a configuration with many routes, as the operator writes it."""
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'q{number:05}-{"x" * (ROUTE_BYTES - 110)}',
                    'host': f'h{number}.example',
                    'path_prefix': f'/p{number}/',
                    'service': 'coding',
                    'max_attempts': 3,
                }
                for number in range(routes)
            ],
            'services': [{'name': 'coding'}],
            'tenants': [{'name': 'ministry', 'api_keys': ['key']}],
            'limits': {},
        }
    ).encode()


class Node:
    """Node that follows the operator's table."""

    def __init__(self, site: 'Site', name: str, mbps: float) -> None:
        self.name = name
        self.site = site
        self.link = linksim.Link(mbps)
        site.network.hosts[name] = linksim.Host(self.link)
        self.lines: list[tuple[float, str, dict[str, Any]]] = []
        channels = http1.ChannelPool(16)
        self.store = _watchedstore.WatchedStore(
            _store.Store(channels, f'{STORE}:80'), self.log_decision
        )
        # When each version came into force.
        self.in_force: list[tuple[float, int]] = []
        # End of the last fault that concerned this node.
        self.calm_since = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.in_force[-1][1] if self.in_force else 0

    def log_decision(self, decision: str, **fields: Any) -> None:
        """Keep a line of the log."""
        self.lines.append((time.monotonic(), decision, fields))

    def count(self, decision: str) -> int:
        """Return how often a decision was logged."""
        return sum(line[1] == decision for line in self.lines)

    def start(self) -> None:
        """Start to follow, as this host."""
        linksim.caller.set(self.name)
        self.tasks = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._probe()),
        ]

    async def _follow(self) -> None:
        decoder = _decode.Decoder(self.log_decision)
        follower = _followers.ConfigurationFollower(
            self.store,
            _decode.TABLES,
            decoder,
            _evacuations.Evacuations(_decode.TABLES, decoder),
            5.0,
            self.log_decision,
        )
        async for change in follower.follow():
            if change.configuration is not None:
                self.apply(change.configuration)

    def apply(self, configuration: ports.Configuration) -> None:
        """Put a configuration into force, if it is newer."""
        if configuration.version > self.version:
            now = time.monotonic()
            self.in_force.append((now, configuration.version))

    async def _probe(self) -> None:
        """Read small rows, as all nodes do to follow the owner."""
        while True:
            with contextlib.suppress(errors.StoreError):
                await self.store.read('cells', 'cell-0', 'beat', 'owner', 1.0)
            await asyncio.sleep(PROBE_S)

    def stop(self) -> None:
        """Stop following."""
        for task in self.tasks:
            task.cancel()


class Site:
    """Some nodes with fast links and some with slow ones, and the store."""

    def __init__(self, fast: int = 2, slow: int = 3) -> None:
        self.rows = rowstore.RowStore()
        self.network = linksim.Network()
        self.network.hosts[STORE] = linksim.Host(
            linksim.Link(STORE_MBPS), self._answer
        )
        self.is_busy = False
        self.ended_at = 0.0
        # Version before which the store has dropped its history.
        self.history_from = 0
        # When each version was confirmed.
        self.confirmed: list[tuple[float, int]] = []
        self.nodes = [
            Node(self, f'n{number}', FAST_MBPS if number < fast else SLOW_MBPS)
            for number in range(fast + slow)
        ]

    async def start(self, routes: int = 10, settle_s: float = 2.0) -> None:
        """Start all nodes, and let them read the first configuration."""
        asyncio.get_running_loop().network = self.network  # type: ignore[attr-defined]
        self.configure(routes)
        for node in self.nodes:
            node.start()
        await asyncio.sleep(settle_s)

    def configure(self, routes: int) -> int:
        """Store the next version, with a number of routes."""
        version = len(self.confirmed) + 1
        self.rows.put('op', '', 'config', document(version, routes))
        self.confirmed.append((time.monotonic(), version))
        return version

    def disturb(self, node: Node, for_s: float) -> None:
        """Note that a fault concerns a node until a while from now."""
        node.calm_since = max(node.calm_since, time.monotonic() + for_s)

    async def _answer(
        self, name: str, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        if self.is_busy:
            return BUSY, b'{}'
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, True))
        if path.endswith('rows-feed'):
            if int(query['after']) < self.history_from:
                return HISTORY_LOST, b'{}'
            read = await self.rows.read_changes(
                query['table'], int(query['after']), int(query['wait_ms'])
            )
        else:
            read = await self.rows.read(
                query['table'],
                query['part'],
                query.get('from', ''),
                query.get('to'),
            )
        return 200, orjson.dumps(
            {
                'rows': [_encode(row) for row in read.rows],
                'row_version': read.version,
                'more_pages': read.has_more,
            }
        )

    def late(self) -> list[str]:
        """Return each version that was not in force in time, and where."""
        return [
            f'version {version} on {node.name}: in force at {since:.2f}, '
            f'due at {due:.2f}'
            for confirmed_at, version in self.confirmed
            for node in self.nodes
            for due in [
                max(confirmed_at + APPLY_S, node.calm_since + CONTACT_S)
            ]
            for since in [_since(node, version)]
            if since > due and self.ended_at > due
        ]

    def stop(self) -> None:
        """Stop all nodes."""
        self.ended_at = time.monotonic()
        for node in self.nodes:
            node.stop()


def _since(node: Node, version: int) -> float:
    """Return since when a node has a version or a later one."""
    return min(
        (at for at, known in node.in_force if known >= version),
        default=float('inf'),
    )


def _encode(row: ports.Row) -> dict[str, Any]:
    return {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'value': base64.b64encode(row.value).decode(),
        'row_version': row.version,
        'removed': row.is_removed,
    }


def run(work: Any, limit_s: float = 120.0) -> Any:
    """Run a coroutine in virtual time."""
    return virtualtime.run(work, limit_s)
