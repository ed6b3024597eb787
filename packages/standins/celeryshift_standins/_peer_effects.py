"""Calls and messages between nodes, and replies to callers."""

from collections.abc import Callable
from typing import Any

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import _fakes
from celeryshift_standins import _network

Node = _fakes.Node
Worker = _fakes.Worker
Outcome = events.Outcome


def send(
    net: _network.Network, node: Node, effect: effects.SendMessage
) -> None:
    """Send a message to a peer."""
    net.messages += 1
    found = net.peer(node, effect.address)
    if found is None or found[0].state.node != effect.peer:
        net.after(
            node,
            _network.CALL_TIMEOUT_S,
            lambda: events.PeerUnreachable(net.now, effect.peer),
        )
        return
    peer, delay_s = found
    sender = node.state.node
    net.after(
        peer,
        delay_s,
        lambda: events.PeerMessageArrived(net.now, sender, effect.message),
    )


def _hand_over(
    net: _network.Network,
    node: Node,
    address: str,
    timeout_s: float,
    make: Callable[[str], events.Event],
    finish: Callable[..., events.Event],
    payload: dict[str, Any],
) -> None:
    """Pass a call on to a peer, and its reply back."""
    net.messages += 1
    found = net.peer(node, address)
    if found is None:
        net.after(node, _network.NEAR_S, lambda: finish(Outcome.UNSENT))
        return
    asked_at = net.now
    peer, delay_s = found
    reply_id = f'p{next(net.count)}'
    net.payloads[(peer.name, reply_id)] = payload
    answered: list[bool] = []

    def reply(outcome: Outcome, *rest: Any) -> None:
        if not answered:
            answered.append(True)
            net.deliver(node, lambda: finish(outcome, *rest))

    def take(document: Any, refusal: core.Refusal | None) -> None:
        if net.links.answers(peer.ends, node.ends, asked_at, net.now):
            outcome = Outcome.REFUSED if refusal else Outcome.OK
            net.call_at(
                net.now + delay_s,
                lambda: reply(outcome, document, refusal),
            )

    net.call_by_reply[(peer.name, reply_id)] = take
    net.after(peer, delay_s, lambda: make(reply_id))
    net.call_at(net.now + timeout_s, lambda: reply(Outcome.UNKNOWN))


def forward_request(
    net: _network.Network, node: Node, effect: effects.ForwardRequest
) -> None:
    """Hand a request to a peer."""

    def make(reply_id: str) -> events.Event:
        return events.RequestArrived(
            net.now,
            reply_id,
            effect.name,
            effect.kind,
            None,
            effect.team,
            effect.timeout_s,
            effect.hops,
        )

    def finish(
        outcome: Outcome,
        document: Any = None,
        refusal: core.Refusal | None = None,
    ) -> events.Event:
        told = document or {}
        return events.RequestForwarded(
            net.now,
            effect.id,
            outcome,
            refusal,
            told.get('worker', ''),
            told.get('waited_s', 0.0),
        )

    payload = net.payloads.get((node.name, effect.id), {})
    timeout_s = effect.timeout_s + _network.FORWARD_GRACE_S
    _hand_over(net, node, effect.address, timeout_s, make, finish, payload)


def forward_job(
    net: _network.Network, node: Node, effect: effects.ForwardJob
) -> None:
    """Hand a job to a peer."""

    def make(reply_id: str) -> events.Event:
        return events.JobSubmitted(
            net.now, reply_id, effect.spec, None, effect.hops
        )

    _forward_call(net, node, effect, make)


def forward_act(
    net: _network.Network, node: Node, effect: effects.ForwardJobAct
) -> None:
    """Ask a peer about a job."""

    def make(reply_id: str) -> events.Event:
        return events.JobActRequested(
            net.now,
            reply_id,
            effect.job,
            effect.act,
            None,
            effect.team,
            effect.hops,
        )

    _forward_call(net, node, effect, make)


def _forward_call(
    net: _network.Network,
    node: Node,
    effect: Any,
    make: Callable[[str], events.Event],
) -> None:
    def finish(
        outcome: Outcome,
        document: Any = None,
        refusal: core.Refusal | None = None,
    ) -> events.Event:
        return events.CallForwarded(
            net.now, effect.reply_id, outcome, document, refusal
        )

    timeout_s = 4 * _network.CALL_TIMEOUT_S
    _hand_over(net, node, effect.address, timeout_s, make, finish, {})


def answer(
    net: _network.Network, node: Node, effect: effects.AnswerRequest
) -> None:
    """Give a caller the answer."""
    document = {'worker': effect.worker, 'waited_s': effect.waited_s}
    net.resolve(node, effect.id, document, None)


def refuse(
    net: _network.Network, node: Node, effect: effects.RefuseRequest
) -> None:
    """Give a caller a refusal."""
    net.resolve(node, effect.id, None, effect.refusal)


def reply(net: _network.Network, node: Node, effect: effects.Reply) -> None:
    """Give a caller or operator a reply."""
    net.resolve(node, effect.reply_id, effect.document, effect.refusal)


def stop_node(
    net: _network.Network, node: Node, effect: effects.StopNode
) -> None:
    """End the node."""
    node.alive = False
    for watch in net.on_stop:
        watch(node)


def log(net: _network.Network, node: Node, effect: effects.LogChange) -> None:
    """Show a change of state to whoever watches."""
    for watch in net.on_change:
        watch(node, effect)
