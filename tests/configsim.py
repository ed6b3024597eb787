"""Nodes that follow the configuration over slow links, in virtual time."""

import asyncio
import contextlib
import json
import random
import time
from typing import Any
import urllib.parse

import orjson
from tests import linksim
from tests import site as sites
from tests import virtualtime

from celeryshift_cellnode import _configurations
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
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
    """Node that follows the operator's table, and may own the cell."""

    def __init__(self, site: 'Site', name: str, mbps: float) -> None:
        self.name = name
        self.site = site
        self.link = linksim.Link(mbps)
        self.node = _schema.Node(
            name, f'{name}:81', name, f'dc-{len(name)}', 1.0, mbps
        )
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
        decoder = _decode.Decoder(self.log_decision)
        self.configurations = _configurations.Configurations(
            self.store,
            _decode.TABLES,
            decoder,
            _evacuations.Evacuations(_decode.TABLES, decoder),
            5.0,
            _peers.Peers(channels),
            self,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            self.node,
            self.log_decision,
            self._apply,
            lambda _: None,
        )
        site.network.hosts[name] = linksim.Host(self.link, self._answer)

    @property
    def owner(self) -> _schema.Owner | None:
        """Return the owner."""
        node = self.site.owner
        return node and _schema.Owner(node.name, node.node.address, '', 1)

    @property
    def is_owner(self) -> bool:
        """Return whether this node is the owner."""
        return self.site.owner is self

    @property
    def others(self) -> list[_schema.Node]:
        """Return the other nodes."""
        return [each.node for each in self.site.nodes if each is not self]

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
            asyncio.create_task(self.configurations.run()),
            asyncio.create_task(self._probe()),
        ]

    def _apply(self, configuration: ports.Configuration) -> None:
        self.in_force.append((time.monotonic(), configuration.version))

    async def _answer(
        self, name: str, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        handler = self.configurations.handlers[target.rpartition('/')[2]]
        # The work that a call begins is done by this node.
        linksim.caller.set(self.name)
        return 200, orjson.dumps(await handler(orjson.loads(body)))

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
        # Present while the store refuses all calls.
        self.busy: dict[str, float] = {}
        self.ended_at = 0.0
        # End of the last cut.
        self.cut_until = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        # Version before which the store has dropped its history.
        self.history_from = 0
        # When each version was confirmed.
        self.confirmed: list[tuple[float, int]] = []
        self.nodes = [
            Node(self, f'n{number}', FAST_MBPS if number < fast else SLOW_MBPS)
            for number in range(fast + slow)
        ]
        self.owner: Node | None = self.nodes[0]

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

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cut(self, pairs: list[tuple[str, str]], for_s: float) -> None:
        """Deliver nothing between pairs of caller and host for a while."""
        added = set(pairs) - self.network.silent
        self.cut_until = time.monotonic() + for_s
        self.network.silent |= added

        async def heal() -> None:
            await asyncio.sleep(for_s)
            self.network.silent -= added

        self.spawn(heal())

    def set_temporarily(
        self, values: dict[str, float], value: float, for_s: float
    ) -> None:
        """Set a property of the store for a while, which concerns all."""
        values[STORE] = value

        async def clear() -> None:
            await asyncio.sleep(for_s)
            values.pop(STORE, None)

        self.spawn(clear())
        for node in self.nodes:
            until = time.monotonic() + for_s
            node.calm_since = max(node.calm_since, until)

    async def change_owner(self, draw: random.Random) -> None:
        """Replace the owner after a while."""
        former, self.owner = self.owner, None
        await asyncio.sleep(draw.uniform(*TAKEOVER_S))
        others = [node for node in self.nodes if node is not former]
        self.owner = draw.choice(others)
        linksim.caller.set(self.owner.name)
        self.owner.configurations.announce()

    async def _answer(
        self, name: str, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        if self.busy.get(STORE):
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
                'rows': [sites.encode(row) for row in read.rows],
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


def run(work: Any, limit_s: float = 120.0) -> Any:
    """Run a coroutine in virtual time."""
    return virtualtime.run(work, limit_s)


SIZES = (10, 500, 2000, 4000, 8000)
SETTLE_S = 12.0
# Time until a lost owner is replaced.
TAKEOVER_S = (0.6, 1.5)


def _silence(site: Site, draw: random.Random) -> None:
    """Let the store be silent towards some nodes or all."""
    nodes = draw.sample(site.nodes, draw.randint(1, len(site.nodes)))
    site.cut([(node.name, STORE) for node in nodes], draw.uniform(0.2, 5.0))
    for node in site.nodes:
        node.calm_since = max(node.calm_since, site.cut_until)


def _isolate(site: Site, draw: random.Random) -> None:
    """Cut a node off from the store and all nodes; replace it as the owner."""
    node = draw.choice(site.nodes)
    others = [STORE, *(each.name for each in site.nodes if each is not node)]
    pairs = [(node.name, other) for other in others]
    pairs += [(other, node.name) for other in others]
    site.cut(pairs, draw.uniform(0.2, 5.0))
    node.calm_since = max(node.calm_since, site.cut_until)
    if node is site.owner:
        site.spawn(site.change_owner(draw))


def _lose_answers(site: Site, draw: random.Random) -> None:
    site.set_temporarily(
        site.network.lost_share, draw.uniform(0.2, 1.0), draw.uniform(0.2, 4.0)
    )


def _slow_down(site: Site, draw: random.Random) -> None:
    site.set_temporarily(
        site.network.latency_s, draw.uniform(0.05, 0.4), draw.uniform(0.5, 4.0)
    )


def _refuse(site: Site, draw: random.Random) -> None:
    site.set_temporarily(site.busy, 1.0, draw.uniform(0.2, 4.0))


def _forget(site: Site, draw: random.Random) -> None:
    site.history_from = site.rows.version
    for node in site.nodes:
        node.calm_since = max(node.calm_since, time.monotonic())


def _lose_owner(site: Site, draw: random.Random) -> None:
    site.spawn(site.change_owner(draw))


FAULTS = (
    _silence,
    _isolate,
    _lose_answers,
    _slow_down,
    _refuse,
    _forget,
    _lose_owner,
)


async def play(seed: int) -> Site:
    """Play a site whose configurations, links and faults a seed chooses."""
    draw = random.Random(seed)
    site = Site(draw.randint(1, 3), draw.randint(1, 5))
    site.network.random.seed(seed)
    await site.start(draw.choice(SIZES))
    for _ in range(draw.randint(2, 6)):
        for _ in range(draw.choice((0, 1, 1, 2))):
            draw.choice(FAULTS)(site, draw)
            await asyncio.sleep(draw.uniform(0.0, 1.0))
        for _ in range(draw.choice((1, 1, 2, 6))):
            site.configure(draw.choice(SIZES))
            await asyncio.sleep(draw.uniform(0.05, 0.8))
        await asyncio.sleep(draw.uniform(0.0, 3.0))
    await asyncio.sleep(SETTLE_S)
    site.stop()
    return site
