"""Runs a node in the test process, for tests of its HTTP interface."""

import asyncio
import contextlib
import hashlib

import attrs
import builders

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_node import _http
from celeryshift_node import _listener
from celeryshift_node import _runner
from celeryshift_node import _settings
from celeryshift_node import _tls
from celeryshift_standins import _table

OPERATOR = 'operator-token'
CLUSTER = 'token-of-the-cluster'


class Platform:
    """Platform in memory: a store table and a list of VMs."""

    def __init__(self):
        self.table = _table.Table()
        # Number of answers to writes of the configuration that are lost.
        self.answers_to_lose = 0
        # Callables; each write of the configuration first calls the last one.
        self.before_write = []

    def configure(self, document):
        """Store a configuration with the next version."""
        head = self.table.rows_by_key.get(schema.CONFIG_HEAD)
        version = head[1]['version'] + 1 if head else 1
        puts = {
            schema.CONFIG_HEAD: {'version': version},
            schema.CONFIG: {**document, 'version': version},
        }
        self.table.transact({}, puts, [], [])

    async def write(self, effect: effects.WriteStore):
        """Carry out a transaction; tests can have its answer lost."""
        if schema.CONFIG in effect.puts and self.before_write:
            self.before_write.pop()()
        answer = self.table.transact(
            effect.checks, effect.puts, effect.deletes, effect.prefixes
        )
        if schema.CONFIG in effect.puts and self.answers_to_lose:
            self.answers_to_lose -= 1
            return events.Outcome.UNKNOWN, 0, {}
        outcome = events.Outcome.OK if answer.ok else events.Outcome.REFUSED
        return outcome, answer.version, _rows(answer)

    async def read(self, effect: effects.ReadStore):
        """Read rows."""
        return _rows(self.table.read(effect.keys, effect.prefixes))

    async def fetch_vms(self, revision):
        """Return a worker in another data centre."""
        capacity = core.Size(8, 32_000, 131_072, 0)
        role = events.VmRole.WORKER
        vm = events.Vm(
            'w0', role, 'w0', 'dc2', 'r0', builders.UPSTREAM, capacity=capacity
        )
        return 1, [vm]


def _rows(answer):
    return {key: schema.Row(*row) for key, row in answer.rows.items()}


@attrs.frozen
class Entry:
    """URL of a running node, and its platform."""

    url: str
    platform: Platform


@contextlib.asynccontextmanager
async def node(tls=None, **bounds):
    """Run a configured node on loopback, without a lease."""
    settings = _settings.parse(
        {
            'data_centre': 'dc1',
            'platform_url': 'http://127.0.0.1:1',
            'cluster_token': CLUSTER,
            'operators': {
                'ana': hashlib.sha256(b'operator-token').hexdigest()
            },
            'bounds': bounds,
            'tls': tls,
        }
    )
    api = _http.Api(settings)
    listener = _listener.Listener(api.app(), settings.bounds)
    platform = Platform()
    fleet = builders.fleet()
    # For calls with a key that has been withdrawn.
    fleet.withdraw('k0')
    platform.configure(fleet.document())
    options = core.Options('127.0.0.1:1', 'dc1')
    runner = _runner.Runner(options, platform, None, lambda node: None)
    api.runner = runner
    await listener.setup()
    context = _tls.server_context(settings.tls)
    await listener.listen('127.0.0.1', 0, 128, context)
    runner.start()
    while not (runner.state.config.version and runner.state.vm_revision):
        await asyncio.sleep(0.001)
    try:
        address = '{}:{}'.format(*listener.addresses[0])
        yield Entry(f'{_tls.scheme(tls is not None)}://{address}', platform)
    finally:
        await listener.cleanup()
        await runner.close()
