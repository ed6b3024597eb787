"""Decision log: bounded, and never blocking."""

import asyncio
import json
import os
import time
import types

import pytest
from tests import virtualtime

from celeryshift_cellnode import _logs
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _schema
from celeryshift_standins import rowstore


def _read(descriptor):
    os.set_blocking(descriptor, False)
    data = b''
    while True:
        try:
            chunk = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += chunk


def test_a_line_holds_the_decision_and_its_fields():
    reading, writing = os.pipe()
    log = _logs.DecisionLog('n1', writing)
    log.write('job_taken', job='j', age_ms=3)
    (line,) = _read(reading)
    assert line['decision'] == 'job_taken'
    assert line['node'] == 'n1'
    assert line['age_ms'] == 3


def test_a_reader_that_stops_holds_nobody_up():
    _, writing = os.pipe()
    log = _logs.DecisionLog('n1', writing)
    started_at = time.monotonic()
    for number in range(20_000):
        log.write('job_taken', job='j' * 200, number=number)
    assert time.monotonic() - started_at < 5.0
    assert log.counters['log_lines_dropped'] > 0
    assert len(log._buffer) < 2 * _logs.MAX_BUFFERED_BYTES


def test_what_was_dropped_is_said(monkeypatch):
    clock = types.SimpleNamespace(monotonic=lambda: 10.0, time=time.time)
    monkeypatch.setattr(_logs, 'time', clock)
    reading, writing = os.pipe()
    log = _logs.DecisionLog('n1', writing)
    for number in range(int(_logs.BURST_LINES) + 50):
        log.write('x', number=number)
        if number % 100 == 0:
            _read(reading)
    dropped = log.counters['log_lines_dropped']
    assert dropped > 0
    _read(reading)
    clock.monotonic = lambda: 10.1
    log.write('after')
    lines = _read(reading)
    (report,) = [x for x in lines if x['decision'] == 'lines_dropped']
    assert report['lines'] == dropped


@pytest.mark.parametrize('nodes', [30, 120])
def test_the_volume_at_start_grows_with_the_fleet_not_its_square(nodes):
    # 291 nodes wrote 84,000 lines in seven seconds, one for each pair.
    lines: list[str] = []

    def write(decision, **fields):
        lines.append(json.dumps({'decision': decision, **fields}))

    store = rowstore.RowStore()

    async def work():
        tasks = []
        for number in range(nodes):
            name = f'front-{number}'
            node = _schema.Node(name, f'10.0.0.{number}:1', name, 'dc')
            membership = _membership.Membership(store, node, write)
            tasks.append(asyncio.create_task(membership.run()))
            # Nodes start within some hundred milliseconds of each other.
            await asyncio.sleep(0.3 / nodes)
        await asyncio.sleep(20.0)
        for task in tasks:
            task.cancel()

    virtualtime.run(work())
    # Each node writes its row once at start, and then once in an interval.
    assert store.writes <= 5 * nodes
    assert len(lines) <= 4 * nodes
    assert sum(map(len, lines)) <= 4 * nodes * 500
