"""Counters, gauges and waiting times, sent to statsd."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import resource
import time

import statsd

import celeryshift_core as core
from celeryshift_net import servers
from celeryshift_node import _runner
from celeryshift_node import _settings

KB_PER_MB = 1024
QUANTILES_BY_NAME = {'p50': 0.5, 'p99': 0.99}

Gauge = tuple[str, float]


class Metrics:
    """Sender of counter increments and current gauges to statsd."""

    def __init__(
        self,
        runner: _runner.Runner,
        traffic: collections.Counter[str],
        settings: _settings.Statsd,
        connections: servers.ConnectionTable | None = None,
    ) -> None:
        self._runner = runner
        self._traffic = traffic
        self._connections = connections
        self._flush_s = settings.flush_s
        self._client = statsd.StatsClient(
            settings.host, settings.port, settings.prefix
        )
        self._sent_counters: collections.Counter[str] = collections.Counter()
        # Histograms of waiting times as of the last flush, by kind of work and
        # urgency.
        self._sent_wait_counts: dict[tuple[str, bool], list[int]] = {}

    async def run(self) -> None:
        """Send metrics at a fixed interval, until cancelled."""
        while True:
            await asyncio.sleep(self._flush_s)
            self.flush()

    def flush(self) -> None:
        """Send the metrics once."""
        with self._client.pipeline() as pipe:
            self._send_counters(pipe)
            self._send_waits(pipe)
            for iterate_gauges in GAUGE_SOURCES:
                for name, value in iterate_gauges(self._runner.state):
                    pipe.gauge(name, value)
            if self._connections is not None:
                pipe.gauge('http.connections', len(self._connections))

    def _send_counters(self, pipe: statsd.StatsClient) -> None:
        counts = self._runner.state.counters + self._runner.counters
        counts += self._traffic
        if self._connections is not None:
            for reason, count in self._connections.counters.items():
                counts[f'http.closed.{reason}'] = count
        counts['process.cpu_ms'] = int(time.process_time() * 1000)
        for name, count in counts.items():
            if count != self._sent_counters[name]:
                pipe.incr(name, count - self._sent_counters[name])
        self._sent_counters = counts

    def _send_waits(self, pipe: statsd.StatsClient) -> None:
        for key, counts in self._runner.state.waits_by_kind.items():
            sent = self._sent_wait_counts.get(key, [0] * len(counts))
            increments = [
                current - previous
                for current, previous in zip(counts, sent, strict=True)
            ]
            self._sent_wait_counts[key] = list(counts)
            kind, urgent = key
            urgency = 'urgent' if urgent else 'normal'
            for quantile_name, quantile in QUANTILES_BY_NAME.items():
                waited_ms = core.percentile(increments, quantile)
                if waited_ms is not None:
                    name = (
                        f'wait.{urgency}.{_escape_dots(kind)}.{quantile_name}'
                    )
                    pipe.timing(name, waited_ms)


def _queue_gauges(state: core.State) -> Iterator[Gauge]:
    yield 'requests.open', len(state.requests_by_id)
    waiting = 0
    for number, slice_ in state.slices_by_number.items():
        waiting += slice_.queue.length
        yield f'slices.{number}.waiting', slice_.queue.length
    yield 'tasks.waiting', waiting
    yield 'slices.owned', len(state.slices_by_number)


def _slot_gauges(state: core.State) -> Iterator[Gauge]:
    total: collections.Counter[str] = collections.Counter()
    free: collections.Counter[str] = collections.Counter()
    for slice_ in state.slices_by_number.values():
        for upstream in slice_.ledger.upstreams:
            total[upstream] += slice_.ledger.capacity_slots(upstream)
            free[upstream] += slice_.ledger.free_slots(upstream)
    for upstream, slots in total.items():
        yield f'slots.{_escape_dots(upstream)}.known', slots
        yield f'slots.{_escape_dots(upstream)}.used', slots - free[upstream]


def _platform_gauges(state: core.State) -> Iterator[Gauge]:
    since = state.store.failing_since
    yield 'store.failing_s', 0 if since is None else state.now - since
    yield 'config.version', state.config.version
    if state.config_confirmed_at is not None:
        yield 'config.age_s', state.now - state.config_confirmed_at
    yield 'peers.registered', len(state.membership.peers_by_id)


def _process_gauges(state: core.State) -> Iterator[Gauge]:
    max_rss_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    yield 'process.memory_mb', max_rss_kb / KB_PER_MB


def _recorded_gauges(state: core.State) -> Iterator[Gauge]:
    yield from state.gauges.items()


# Functions that yield gauges of the state; add new ones here.
GAUGE_SOURCES: tuple[Callable[[core.State], Iterator[Gauge]], ...] = (
    _queue_gauges,
    _slot_gauges,
    _platform_gauges,
    _process_gauges,
    _recorded_gauges,
)


def _escape_dots(name: str) -> str:
    # statsd separates the parts of a metric's name by dots.
    return name.replace('.', '_')
