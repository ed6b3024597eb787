"""Effects of nodes on simulated workers."""

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
    """Renew the leases of a worker, and long-poll for changed runs."""
    worker = net.workers_by_name[effect.worker]
    name = worker.vm.name
    called_at = net.now
    ends_at = net.now + effect.wait_s

    def make_event(cursor: str, is_full: bool, reports: Any) -> Any:
        return lambda: events.WorkerSynced(
            net.now,
            effect.slice,
            effect.epoch,
            effect.worker,
            cursor,
            reports,
            is_full,
        )

    def poll() -> None:
        if not net.can_worker_reply(node, worker, called_at):
            remaining_s = max(0.0, ends_at - net.now) + _network.CALL_TIMEOUT_S
            net.deliver_later(node, remaining_s, make_event('', False, None))
            return
        worker.tasks.advance(net.now)
        if net.now < ends_at and not worker.tasks.has_changes(effect.cursor):
            net.polls_by_worker.setdefault(name, []).append(poll)
            due = worker.tasks.next_end_at or ends_at
            _wake_at(net, name, min(ends_at, due))
            return
        cursor, is_full, runs = worker.tasks.sync(
            net.now, effect.cursor, effect.lease_s, []
        )
        reports = [_to_task_report(run) for run in runs]
        net.deliver_later(
            node,
            net.worker_latency_s(node, worker),
            make_event(cursor, is_full, reports),
        )

    def on_arrival() -> None:
        if not net.can_reach_worker(node, worker):
            timeout_event = make_event('', False, None)
            net.deliver_later(
                node, effect.wait_s + _network.CALL_TIMEOUT_S, timeout_event
            )
            return
        worker.tasks.sync(
            net.now,
            effect.cursor,
            effect.lease_s,
            list(effect.acknowledged),
        )
        poll()

    if net.now >= effect.deadline:
        net.deliver_later(node, 0.0, make_event('', False, None))
    else:
        net.messages += 1
        net.call_at(net.now + net.worker_latency_s(node, worker), on_arrival)


def start(
    net: _network.Network, node: Node, effect: effects.StartTask
) -> None:
    """Start a task on a worker."""
    worker = net.workers_by_name[effect.worker]
    called_at = net.now

    def make_event(outcome: Outcome) -> Any:
        return lambda: events.TaskStarted(
            net.now,
            effect.slice,
            effect.epoch,
            effect.worker,
            effect.task,
            outcome,
        )

    def on_arrival() -> None:
        if not net.can_reach_worker(node, worker):
            net.deliver_later(
                node, _network.CALL_TIMEOUT_S, make_event(Outcome.UNKNOWN)
            )
        elif worker.refuses:
            net.deliver_later(
                node, _network.LOCAL_LATENCY_S, make_event(Outcome.REFUSED)
            )
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
            _wake_on_change(net, worker)
            if net.can_worker_reply(node, worker, called_at):
                net.deliver_later(
                    node,
                    net.worker_latency_s(node, worker),
                    make_event(Outcome.OK),
                )
            else:
                timeout_event = make_event(Outcome.UNKNOWN)
                net.deliver_later(node, _network.CALL_TIMEOUT_S, timeout_event)

    _deliver(net, node, worker, effect, on_arrival, make_event(Outcome.UNSENT))


def _deliver(
    net: _network.Network,
    node: Node,
    worker: Worker,
    effect: effects.StartTask | effects.SendRequest,
    on_arrival: Callable[[], None],
    make_not_sent: Callable[[], events.Event],
) -> None:
    """Deliver an effect to its worker unless its deadline has passed."""
    if net.now >= effect.deadline:
        net.deliver_later(node, 0.0, make_not_sent)
    else:
        net.messages += 1
        net.call_at(net.now + net.worker_latency_s(node, worker), on_arrival)


def throttle(
    net: _network.Network, node: Node, effect: effects.ThrottleTask
) -> None:
    """Throttle a task on a worker."""
    worker = net.workers_by_name[effect.worker]

    def on_arrival() -> None:
        run = worker.tasks.runs_by_id.get(effect.task)
        if run is not None and net.can_reach_worker(node, worker):
            run.throttled = True

    net.messages += 1
    net.call_at(net.now + net.worker_latency_s(node, worker), on_arrival)


def stop(net: _network.Network, node: Node, effect: effects.StopTask) -> None:
    """Stop a task on a worker."""
    worker = net.workers_by_name[effect.worker]

    def on_arrival() -> None:
        reached = net.can_reach_worker(node, worker)
        if reached:
            worker.tasks.stop(net.now, effect.task)
            _wake(net, worker.vm.name)
        outcome = Outcome.OK if reached else Outcome.UNKNOWN
        net.deliver_later(
            node,
            _network.LOCAL_LATENCY_S if reached else _network.CALL_TIMEOUT_S,
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
    net.call_at(net.now + net.worker_latency_s(node, worker), on_arrival)


def send_request(
    net: _network.Network, node: Node, effect: effects.SendRequest
) -> None:
    """Send a request to a worker."""
    worker = net.workers_by_name[effect.worker]
    called_at = net.now

    def make_event(outcome: Outcome, failed: bool = False) -> Any:
        return lambda: events.RequestAnswered(
            net.now, effect.id, effect.attempt, outcome, failed
        )

    def on_arrival() -> None:
        if not net.can_reach_worker(node, worker):
            timeout_event = make_event(Outcome.UNKNOWN)
            net.deliver_later(node, effect.timeout_s, timeout_event)
            return
        if worker.refuses:
            net.deliver_later(
                node, _network.LOCAL_LATENCY_S, make_event(Outcome.REFUSED)
            )
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
        worker.tasks.mark_answered(run.id)
        if net.can_worker_reply(node, worker, called_at):
            failed = run.phase is _tasktable.Phase.FAILED
            done = make_event(Outcome.OK, failed)
            net.deliver_later(node, net.worker_latency_s(node, worker), done)
        else:
            remaining_s = run.started_at + effect.timeout_s - net.now
            timeout_event = make_event(Outcome.UNKNOWN)
            net.deliver_later(node, max(0.0, remaining_s), timeout_event)

    _deliver(net, node, worker, effect, on_arrival, make_event(Outcome.UNSENT))


def query_outcome(
    net: _network.Network, node: Node, effect: effects.QueryOutcome
) -> None:
    """Query a worker for the outcome of a request."""
    worker = net.workers_by_name[effect.worker]
    run = worker.tasks.runs_by_id.get(effect.task)
    # Queried over a new connection, which is not affected by connections
    # that went silent earlier.
    is_known = run is not None and net.can_reach_worker(node, worker)
    failed = bool(is_known and run and run.will_fail)
    outcome = Outcome.OK if is_known else Outcome.UNKNOWN
    wait_s = max(0.0, run.ends_at - net.now) if is_known and run else 0.0
    net.deliver_later(
        node,
        wait_s + 2 * _network.LOCAL_LATENCY_S,
        lambda: events.RequestAnswered(
            net.now, effect.id, effect.attempt, outcome, failed
        ),
    )


def _wake_at(net: _network.Network, name: str, when: float) -> None:
    """Schedule one wake-up for all polls of a worker."""

    def wake() -> None:
        if net.wake_at_by_worker.get(name) == when:
            del net.wake_at_by_worker[name]
        _wake(net, name)

    due = net.wake_at_by_worker.get(name)
    if due is None or when < due:
        net.wake_at_by_worker[name] = when
        net.call_at(when, wake)


def _wake(net: _network.Network, name: str) -> None:
    for poll in net.polls_by_worker.pop(name, []):
        poll()


def _wake_on_change(net: _network.Network, worker: Worker) -> None:
    """Wake the polls of a worker now, and when its next run may end."""
    name = worker.vm.name
    _wake(net, name)
    if worker.tasks.next_end_at is not None:
        _wake_at(net, name, worker.tasks.next_end_at)


def _to_task_report(run: _tasktable.Run) -> events.TaskReport:
    return events.TaskReport(
        run.id,
        events.TaskPhase(run.phase.value),
        run.kind,
        run.team,
        core.Size(**run.size),
        run.request,
        core.Size(**{'slots': 0, **run.used}),
    )
