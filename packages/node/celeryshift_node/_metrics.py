"""Metrics: counters, gauges and waiting times, sent to statsd."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import resource
import time

import statsd

import celeryshift_core as core
from celeryshift_node import _runner
from celeryshift_node import _settings

KB_PER_MB = 1024
PORTIONS_BY_NAME = {'p50': 0.5, 'p99': 0.99}

Gauge = tuple[str, float]


class Metrics:
    """Send what was counted since the last time, and the gauges of now."""

    def __init__(
        self,
        runner: _runner.Runner,
        traffic: collections.Counter[str],
        settings: _settings.Statsd,
    ) -> None:
        self._runner = runner
        self._traffic = traffic
        self._flush_s = settings.flush_s
        self._client = statsd.StatsClient(
            settings.host, settings.port, settings.prefix
        )
        self._sent: collections.Counter[str] = collections.Counter()
        self._waits_sent: dict[tuple[str, bool], list[int]] = {}

    async def run(self) -> None:
        """Send metrics again and again."""
        while True:
            await asyncio.sleep(self._flush_s)
            self.flush()

    def flush(self) -> None:
        """Send metrics once."""
        with self._client.pipeline() as pipe:
            self._send_counters(pipe)
            self._send_waits(pipe)
            for find in GAUGES:
                for name, value in find(self._runner.state):
                    pipe.gauge(name, value)

    def _send_counters(self, pipe: statsd.StatsClient) -> None:
        counts = self._runner.state.counters + self._runner.counters
        counts += self._traffic
        counts['process.cpu_ms'] = int(time.process_time() * 1000)
        for name, count in counts.items():
            if count != self._sent[name]:
                pipe.incr(name, count - self._sent[name])
        self._sent = counts

    def _send_waits(self, pipe: statsd.StatsClient) -> None:
        for key, counts in self._runner.state.waits_by_kind.items():
            before = self._waits_sent.get(key, [0] * len(counts))
            new = [
                now - then for now, then in zip(counts, before, strict=True)
            ]
            self._waits_sent[key] = list(counts)
            kind, urgent = key
            urgency = 'urgent' if urgent else 'normal'
            for portion_name, portion in PORTIONS_BY_NAME.items():
                waited_ms = core.percentile(new, portion)
                if waited_ms is not None:
                    name = f'wait.{urgency}.{_part(kind)}.{portion_name}'
                    pipe.timing(name, waited_ms)


def _work(state: core.State) -> Iterator[Gauge]:
    yield 'requests.open', len(state.requests_by_id)
    waiting = 0
    for number, held in state.slices_by_number.items():
        waiting += held.queue.length
        yield f'slices.{number}.waiting', held.queue.length
    yield 'tasks.waiting', waiting
    yield 'slices.owned', len(state.slices_by_number)


def _packing(state: core.State) -> Iterator[Gauge]:
    known: collections.Counter[str] = collections.Counter()
    free: collections.Counter[str] = collections.Counter()
    for held in state.slices_by_number.values():
        for upstream in held.ledger.upstreams:
            known[upstream] += held.ledger.capacity_slots(upstream)
            free[upstream] += held.ledger.free_slots(upstream)
    for upstream, slots in known.items():
        yield f'slots.{_part(upstream)}.known', slots
        yield f'slots.{_part(upstream)}.used', slots - free[upstream]


def _platform(state: core.State) -> Iterator[Gauge]:
    since = state.store.failing_since
    yield 'store.failing_s', 0 if since is None else state.now - since
    yield 'config.version', state.config.version
    if state.config_confirmed_at is not None:
        yield 'config.age_s', state.now - state.config_confirmed_at
    yield 'peers.registered', len(state.membership.peers_by_id)


def _process(state: core.State) -> Iterator[Gauge]:
    most_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    yield 'process.memory_mb', most_kb / KB_PER_MB


def _shares(state: core.State) -> Iterator[Gauge]:
    yield from state.gauges.items()


# Each gives gauges of the state; others are added here.
GAUGES: tuple[Callable[[core.State], Iterator[Gauge]], ...] = (
    _work,
    _packing,
    _platform,
    _process,
    _shares,
)


def _part(name: str) -> str:
    # statsd takes a dot as the start of another part.
    return name.replace('.', '_')
