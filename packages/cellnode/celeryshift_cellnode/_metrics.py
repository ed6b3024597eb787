"""Counters and latency histograms, as text for the metrics address."""

import time

import prometheus_client

from celeryshift_cell import effects

# Upper bounds in seconds; objectives are from 0.25 s up.
MS_PER_S = 1000
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """Keep the counters of a node."""

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self._registry = registry
        self._decisions = prometheus_client.Counter(
            'celeryshift_decisions',
            'Decisions',
            ['decision'],
            registry=registry,
        )
        self._waits = self._histogram(
            'celeryshift_wait_seconds',
            'Tasks from their turn until they are started',
            ['priority'],
        )
        self._ends = prometheus_client.Counter(
            'celeryshift_run_ends',
            'Ends of runs',
            ['how'],
            registry=registry,
        )
        self._orders = self._histogram(
            'celeryshift_order_seconds',
            'Orders to workers until answered',
            ['order', 'outcome'],
        )
        self._calls = self._histogram(
            'celeryshift_call_seconds',
            'Calls of callers until answered',
            ['call', 'verdict'],
        )
        self._gauges = prometheus_client.Gauge(
            'celeryshift_cell',
            'State of the cell that this node owns',
            ['of'],
            registry=registry,
        )

    def _histogram(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name, text, labels, buckets=BUCKETS, registry=self._registry
        )

    def decided(self, decision: effects.LogDecision) -> None:
        """Count a decision of the cell."""
        self.count(decision.decision)
        if decision.decision == 'tasks_placed':
            fields = decision.fields
            waits = self._waits.labels(str(fields['priority']))
            for _ in fields['workers']:
                waits.observe(fields['waited_ms'] / MS_PER_S)
        elif decision.decision == 'run_ended':
            self._ends.labels(decision.fields['how']).inc()

    def count(self, decision: str) -> None:
        """Count a decision."""
        self._decisions.labels(decision).inc()

    def order(self, order: str, outcome: str, began: float) -> None:
        """Count an order and how long its answer took."""
        took = time.monotonic() - began
        self._orders.labels(order, outcome).observe(took)

    def call(self, call: str, verdict: str, began: float) -> None:
        """Count a call and how long its answer took."""
        took = time.monotonic() - began
        self._calls.labels(call, verdict).observe(took)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)

    def text(self) -> tuple[bytes, str]:
        """Give the metrics and their content type."""
        text = prometheus_client.generate_latest(self._registry)
        return text, prometheus_client.CONTENT_TYPE_LATEST
