"""Metrics: the counters of the reducer, sent to statsd."""

import asyncio
import collections

import statsd

from celeryshift_node import _runner
from celeryshift_node import _settings


class Metrics:
    """Send what was counted since the last time, and the gauges of now."""

    def __init__(
        self, runner: _runner.Runner, settings: _settings.Statsd
    ) -> None:
        self._runner = runner
        self._flush_s = settings.flush_s
        self._client = statsd.StatsClient(
            settings.host, settings.port, settings.prefix
        )
        self._sent: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Send metrics again and again."""
        while True:
            await asyncio.sleep(self._flush_s)
            self.flush()

    def flush(self) -> None:
        """Send metrics once."""
        state = self._runner.state
        with self._client.pipeline() as pipe:
            for name, count in state.counters.items():
                if count != self._sent[name]:
                    pipe.incr(name, count - self._sent[name])
            for name, value in state.gauges.items():
                pipe.gauge(name, value)
            pipe.gauge('slices.owned', len(state.slices_by_number))
            pipe.gauge('requests.open', len(state.requests_by_id))
            waiting = sum(
                held.queue.length for held in state.slices_by_number.values()
            )
            pipe.gauge('tasks.waiting', waiting)
        self._sent = collections.Counter(state.counters)
