"""Counters and latency histograms, as text for the metrics endpoint."""

import time

import prometheus_client

from celeryshift_cell import effects

MS_PER_S = 1000
# Upper bounds of the histogram buckets; latency objectives start at 0.25 s.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
BUCKETS_WORKERS_LOST = (1, 2, 3, 5, 10)


class Metrics:
    """Metrics of a node."""

    def __init__(self) -> None:
        registry = prometheus_client.CollectorRegistry()
        self._registry = registry
        self._decisions = prometheus_client.Counter(
            'celeryshift_decisions',
            'Decisions',
            ['decision'],
            registry=registry,
        )
        self._wait_times = self._histogram(
            'celeryshift_wait_seconds',
            'Tasks from their turn until they are started',
            ['priority'],
        )
        self._run_results = prometheus_client.Counter(
            'celeryshift_run_ends',
            'Ends of runs',
            ['how'],
            registry=registry,
        )
        self._dropped_runs = prometheus_client.Counter(
            'celeryshift_runs_dropped',
            'Runs that were dropped without a result',
            ['why'],
            registry=registry,
        )
        self._workers_lost = prometheus_client.Histogram(
            'celeryshift_workers_lost',
            'Workers lost under a task so far, at each dropped run',
            buckets=BUCKETS_WORKERS_LOST,
            registry=registry,
        )
        self._order_latencies = self._histogram(
            'celeryshift_order_seconds',
            'Orders to workers until answered',
            ['order', 'outcome'],
        )
        self._call_latencies = self._histogram(
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
            name, text, labels, buckets=BUCKETS_S, registry=self._registry
        )

    def observe_decision(self, decision: effects.LogDecision) -> None:
        """Record a decision of the cell."""
        self.count_decision(decision.decision)
        if decision.decision == 'tasks_placed':
            fields = decision.fields
            waits = self._wait_times.labels(str(fields['priority']))
            for _ in fields['workers']:
                waits.observe(fields['waited_ms'] / MS_PER_S)
        elif decision.decision == 'run_ended':
            self._run_results.labels(decision.fields['how']).inc()
        elif decision.decision == 'run_gone':
            self._dropped_runs.labels(decision.fields['why']).inc()
            self._workers_lost.observe(decision.fields['workers_lost'])

    def count_decision(self, decision: str) -> None:
        """Count a decision by its name."""
        self._decisions.labels(decision).inc()

    def observe_order(
        self, order: str, outcome: str, started_at: float
    ) -> None:
        """Record an order and the latency of its answer."""
        took_s = time.monotonic() - started_at
        self._order_latencies.labels(order, outcome).observe(took_s)

    def observe_call(self, call: str, verdict: str, started_at: float) -> None:
        """Record a call and the latency of its answer."""
        took_s = time.monotonic() - started_at
        self._call_latencies.labels(call, verdict).observe(took_s)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges.labels(name).set(value)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        text = prometheus_client.generate_latest(self._registry)
        return text, prometheus_client.CONTENT_TYPE_LATEST
