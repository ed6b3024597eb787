"""The workers without guards, as nodes reach them."""

from collections.abc import Callable
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import _fakes
from celeryshift_standins import _network
from celeryshift_standins import _tasktable

Node = _fakes.Node
Worker = _fakes.Worker
Outcome = events.Outcome


def sync(
    net: _network.Network, node: Node, effect: effects.SyncWorker
) -> None:
    """Renew the leases of a worker, and wait for its news."""
    worker = net.workers_by_name[effect.worker]
    name = worker.vm.name
    asked_at = net.now
    until = net.now + effect.wait_s

    def answer(cursor: str, whole: bool, reports: Any) -> Any:
        return lambda: events.WorkerSynced(
            net.now,
            effect.slice,
            effect.epoch,
            effect.worker,
            cursor,
            reports,
            whole,
        )

    def poll() -> None:
        if not net.hears(node, worker, asked_at):
            left_s = max(0.0, until - net.now) + _network.CALL_TIMEOUT_S
            net.after(node, left_s, answer('', False, None))
            return
        worker.tasks.advance(net.now)
        if net.now < until and not worker.tasks.has_news(effect.cursor):
            net.polls.setdefault(name, []).append(poll)
            due = worker.tasks.next_at or until
            _wake_at(net, name, min(until, due))
            return
        cursor, whole, runs = worker.tasks.sync(
            net.now, effect.cursor, effect.lease_s, []
        )
        reports = [_report(run) for run in runs]
        net.after(node, net.way(node, worker), answer(cursor, whole, reports))

    def begin() -> None:
        if not net.reach(node, worker):
            lost = answer('', False, None)
            net.after(node, effect.wait_s + _network.CALL_TIMEOUT_S, lost)
            return
        worker.tasks.sync(
            net.now,
            effect.cursor,
            effect.lease_s,
            list(effect.acknowledged),
        )
        poll()

    if net.now >= effect.deadline:
        net.after(node, 0.0, answer('', False, None))
    else:
        net.messages += 1
        net.call_at(net.now + net.way(node, worker), begin)


def start(
    net: _network.Network, node: Node, effect: effects.StartTask
) -> None:
    """Start a task on a worker."""
    worker = net.workers_by_name[effect.worker]
    asked_at = net.now

    def answer(outcome: Outcome) -> Any:
        return lambda: events.TaskStarted(
            net.now,
            effect.slice,
            effect.epoch,
            effect.worker,
            effect.task,
            outcome,
        )

    def begin() -> None:
        if not net.reach(node, worker):
            net.after(node, _network.CALL_TIMEOUT_S, answer(Outcome.UNKNOWN))
        elif worker.refuses:
            net.after(node, _network.NEAR_S, answer(Outcome.REFUSED))
        else:
            payload = effect.payload or {}
            run = worker.tasks.start(
                net.now,
                effect.task,
                effect.team,
                effect.kind,
                attrs.asdict(effect.size),
                min(payload.get('run_s', 0.0), effect.max_run_s),
                effect.lease_s,
                payload.get('fail', False),
            )
            run.used = payload.get('used', {})
            worker.starts += 1
            _watch(net, worker)
            if net.hears(node, worker, asked_at):
                net.after(node, net.way(node, worker), answer(Outcome.OK))
            else:
                lost = answer(Outcome.UNKNOWN)
                net.after(node, _network.CALL_TIMEOUT_S, lost)

    _send(net, node, worker, effect, begin, answer(Outcome.UNSENT))


def _send(
    net: _network.Network,
    node: Node,
    worker: Worker,
    effect: effects.StartTask | effects.SendRequest,
    begin: Callable[[], None],
    unsent: Callable[[], events.Event],
) -> None:
    """Let an effect reach its worker, unless its deadline has passed."""
    if net.now >= effect.deadline:
        net.after(node, 0.0, unsent)
    else:
        net.messages += 1
        net.call_at(net.now + net.way(node, worker), begin)


def throttle(
    net: _network.Network, node: Node, effect: effects.ThrottleTask
) -> None:
    """Throttle a task on a worker."""
    worker = net.workers_by_name[effect.worker]

    def begin() -> None:
        run = worker.tasks.runs_by_id.get(effect.task)
        if run is not None and net.reach(node, worker):
            run.throttled = True

    net.messages += 1
    net.call_at(net.now + net.way(node, worker), begin)


def stop(net: _network.Network, node: Node, effect: effects.StopTask) -> None:
    """Stop a task on a worker."""
    worker = net.workers_by_name[effect.worker]

    def begin() -> None:
        reached = net.reach(node, worker)
        if reached:
            worker.tasks.stop(net.now, effect.task)
            _wake(net, worker.vm.name)
        outcome = Outcome.OK if reached else Outcome.UNKNOWN
        net.after(
            node,
            _network.NEAR_S if reached else _network.CALL_TIMEOUT_S,
            lambda: events.TaskStopped(
                net.now,
                effect.slice,
                effect.epoch,
                effect.worker,
                effect.task,
                outcome,
            ),
        )

    net.messages += 1
    net.call_at(net.now + net.way(node, worker), begin)


def send_request(
    net: _network.Network, node: Node, effect: effects.SendRequest
) -> None:
    """Send a request to a worker."""
    worker = net.workers_by_name[effect.worker]
    asked_at = net.now

    def answer(outcome: Outcome, failed: bool = False) -> Any:
        return lambda: events.RequestAnswered(
            net.now, effect.id, effect.attempt, outcome, failed
        )

    def begin() -> None:
        if not net.reach(node, worker):
            lost = answer(Outcome.UNKNOWN)
            net.after(node, effect.timeout_s, lost)
            return
        if worker.refuses:
            net.after(node, _network.NEAR_S, answer(Outcome.REFUSED))
            return
        payload = net.payloads.get((node.name, effect.id), {})
        run = worker.tasks.start(
            net.now,
            effect.task,
            effect.team,
            effect.kind,
            attrs.asdict(effect.size),
            min(payload.get('run_s', 0.0), effect.timeout_s),
            None,
            payload.get('fail', False),
        )
        worker.starts += 1
        net.call_at(run.ends_at, lambda: end(run))

    def end(run: _tasktable.Run) -> None:
        worker.tasks.advance(net.now)
        worker.tasks.forget(run.id)
        if net.hears(node, worker, asked_at):
            failed = run.phase is _tasktable.Phase.FAILED
            done = answer(Outcome.OK, failed)
            net.after(node, net.way(node, worker), done)
        else:
            left_s = run.started_at + effect.timeout_s - net.now
            lost = answer(Outcome.UNKNOWN)
            net.after(node, max(0.0, left_s), lost)

    _send(net, node, worker, effect, begin, answer(Outcome.UNSENT))


def ask_outcome(
    net: _network.Network, node: Node, effect: effects.QueryOutcome
) -> None:
    """Ask a worker how a request ended."""
    worker = net.workers_by_name[effect.worker]
    run = worker.tasks.runs_by_id.get(effect.task)
    # Asked over a new connection, which an older silence does not touch.
    known = run is not None and net.reach(node, worker)
    failed = bool(known and run and run.will_fail)
    outcome = Outcome.OK if known else Outcome.UNKNOWN
    wait_s = max(0.0, run.ends_at - net.now) if known and run else 0.0
    net.after(
        node,
        wait_s + 2 * _network.NEAR_S,
        lambda: events.RequestAnswered(
            net.now, effect.id, effect.attempt, outcome, failed
        ),
    )


def _wake_at(net: _network.Network, name: str, when: float) -> None:
    """Wake the polls of a worker once, however many of them ask for it."""

    def act() -> None:
        if net.wakes.get(name) == when:
            del net.wakes[name]
        _wake(net, name)

    due = net.wakes.get(name)
    if due is None or when < due:
        net.wakes[name] = when
        net.call_at(when, act)


def _wake(net: _network.Network, name: str) -> None:
    for poll in net.polls.pop(name, []):
        poll()


def _watch(net: _network.Network, worker: Worker) -> None:
    """Wake the polls of a worker when some run may have ended."""
    name = worker.vm.name
    _wake(net, name)
    if worker.tasks.next_at is not None:
        _wake_at(net, name, worker.tasks.next_at)


def _report(run: _tasktable.Run) -> events.TaskReport:
    return events.TaskReport(
        run.id,
        events.TaskPhase(run.phase.value),
        run.kind,
        run.team,
        core.Size(**run.size),
        run.request,
        core.Size(**{'slots': 0, **run.used}),
    )
