"""Effects of nodes on other nodes and on callers."""

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
    route = net.find_peer(node, effect.address)
    if route is None or route[0].state.node != effect.peer:
        net.deliver_later(
            node,
            _network.CALL_TIMEOUT_S,
            lambda: events.PeerUnreachable(net.now, effect.peer),
        )
        return
    peer, delay_s = route
    sender = node.state.node
    net.deliver_later(
        peer,
        delay_s,
        lambda: events.PeerMessageArrived(net.now, sender, effect.message),
    )


def _forward(
    net: _network.Network,
    node: Node,
    address: str,
    timeout_s: float,
    make_event: Callable[[str], events.Event],
    make_reply: Callable[..., events.Event],
    payload: dict[str, Any],
) -> None:
    """Forward a call to a peer, and return its reply to the node."""
    net.messages += 1
    route = net.find_peer(node, address)
    if route is None:
        net.deliver_later(
            node, _network.LOCAL_LATENCY_S, lambda: make_reply(Outcome.UNSENT)
        )
        return
    called_at = net.now
    peer, delay_s = route
    reply_id = f'p{next(net.sequence)}'
    net.payloads[(peer.name, reply_id)] = payload
    answered: list[bool] = []

    def reply_once(outcome: Outcome, *rest: Any) -> None:
        if not answered:
            answered.append(True)
            net.deliver(node, lambda: make_reply(outcome, *rest))

    def on_reply(document: Any, refusal: core.Refusal | None) -> None:
        if net.links.passes_reply(
            peer.endpoints, node.endpoints, called_at, net.now
        ):
            outcome = Outcome.REFUSED if refusal else Outcome.OK
            net.call_at(
                net.now + delay_s,
                lambda: reply_once(outcome, document, refusal),
            )

    net.callback_by_reply[(peer.name, reply_id)] = on_reply
    net.deliver_later(peer, delay_s, lambda: make_event(reply_id))
    net.call_at(net.now + timeout_s, lambda: reply_once(Outcome.UNKNOWN))


def forward_request(
    net: _network.Network, node: Node, effect: effects.ForwardRequest
) -> None:
    """Forward a request to a peer."""

    def make_event(reply_id: str) -> events.Event:
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

    def make_reply(
        outcome: Outcome,
        document: Any = None,
        refusal: core.Refusal | None = None,
    ) -> events.Event:
        fields = document or {}
        return events.RequestForwarded(
            net.now,
            effect.id,
            outcome,
            refusal,
            fields.get('worker', ''),
            fields.get('waited_s', 0.0),
        )

    payload = net.payloads.get((node.name, effect.id), {})
    timeout_s = effect.timeout_s + _network.FORWARD_GRACE_S
    _forward(
        net, node, effect.address, timeout_s, make_event, make_reply, payload
    )


def forward_job(
    net: _network.Network, node: Node, effect: effects.ForwardJob
) -> None:
    """Forward a job to a peer."""

    def make_event(reply_id: str) -> events.Event:
        return events.JobSubmitted(
            net.now, reply_id, effect.spec, None, effect.hops
        )

    _forward_call(net, node, effect, make_event)


def forward_act(
    net: _network.Network, node: Node, effect: effects.ForwardJobAct
) -> None:
    """Forward an act on a job, such as show or cancel, to a peer."""

    def make_event(reply_id: str) -> events.Event:
        return events.JobActRequested(
            net.now,
            reply_id,
            effect.job,
            effect.act,
            None,
            effect.team,
            effect.hops,
        )

    _forward_call(net, node, effect, make_event)


def _forward_call(
    net: _network.Network,
    node: Node,
    effect: Any,
    make_event: Callable[[str], events.Event],
) -> None:
    def make_reply(
        outcome: Outcome,
        document: Any = None,
        refusal: core.Refusal | None = None,
    ) -> events.Event:
        return events.CallForwarded(
            net.now, effect.reply_id, outcome, document, refusal
        )

    timeout_s = 4 * _network.CALL_TIMEOUT_S
    _forward(net, node, effect.address, timeout_s, make_event, make_reply, {})


def answer(
    net: _network.Network, node: Node, effect: effects.AnswerRequest
) -> None:
    """Answer a request of a caller."""
    document = {'worker': effect.worker, 'waited_s': effect.waited_s}
    net.complete_call(node, effect.id, document, None)


def refuse(
    net: _network.Network, node: Node, effect: effects.RefuseRequest
) -> None:
    """Refuse a request of a caller."""
    net.complete_call(node, effect.id, None, effect.refusal)


def reply(net: _network.Network, node: Node, effect: effects.Reply) -> None:
    """Reply to a call of a caller or operator."""
    net.complete_call(node, effect.reply_id, effect.document, effect.refusal)


def stop_node(
    net: _network.Network, node: Node, effect: effects.StopNode
) -> None:
    """Stop the node and call the callbacks for it."""
    node.alive = False
    for callback in net.on_stop:
        callback(node)


def log(net: _network.Network, node: Node, effect: effects.LogChange) -> None:
    """Pass a logged change of state to the callbacks."""
    for callback in net.on_change:
        callback(node, effect)
