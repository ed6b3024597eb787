"""Effects of nodes on the simulated table service and VM list."""

from typing import Any

from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import _fakes
from celeryshift_standins import _network
from celeryshift_standins import _table

Node = _fakes.Node
Worker = _fakes.Worker
Outcome = events.Outcome


def write(
    net: _network.Network, node: Node, effect: effects.WriteStore
) -> None:
    """Write rows, and answer unless a fault drops the answer."""
    called_at = net.now

    def make_event(outcome: Outcome, version: int, rows: Any) -> Any:
        return lambda: events.StoreWritten(
            net.now, effect.op_id, outcome, version, rows
        )

    def on_arrival() -> None:
        timeout_event = make_event(Outcome.UNKNOWN, 0, {})
        if not net.can_reach_store(node):
            net.deliver_later(node, _network.CALL_TIMEOUT_S, timeout_event)
            return
        result = net.table.transact(
            effect.checks,
            effect.puts,
            list(effect.deletes),
            list(effect.prefixes),
        )
        if net.answers_to_lose > 0:
            net.answers_to_lose -= 1
            net.deliver_later(node, _network.CALL_TIMEOUT_S, timeout_event)
        elif not net.can_store_reply(node, called_at):
            net.deliver_later(node, _network.CALL_TIMEOUT_S, timeout_event)
        else:
            outcome = Outcome.OK if result.ok else Outcome.REFUSED
            reply = make_event(outcome, result.version, _rows(result))
            net.deliver_later(node, _network.STORE_ROUND_TRIP_S / 2, reply)

    net.call_at(
        net.now + _network.STORE_ROUND_TRIP_S / 2 + net.store_slow_s,
        on_arrival,
    )


def read(net: _network.Network, node: Node, effect: effects.ReadStore) -> None:
    """Read rows if the store can be reached."""
    called_at = net.now

    def on_arrival() -> None:
        rows = None
        wait_s = _network.CALL_TIMEOUT_S
        if net.can_reach_store(node) and net.can_store_reply(node, called_at):
            result = net.table.read(list(effect.keys), list(effect.prefixes))
            rows = _rows(result)
            wait_s = _network.STORE_ROUND_TRIP_S / 2
        net.deliver_later(
            node,
            wait_s,
            lambda: events.StoreRead(net.now, effect.op_id, rows),
        )

    net.call_at(
        net.now + _network.STORE_ROUND_TRIP_S / 2 + net.store_slow_s,
        on_arrival,
    )


def fetch_vms(
    net: _network.Network, node: Node, effect: effects.FetchVms
) -> None:
    """Return the VMs whose entries have changed since a revision."""
    if not (net.can_reach_store(node) and net.can_store_reply(node, net.now)):
        net.deliver_later(
            node,
            _network.CALL_TIMEOUT_S,
            lambda: events.VmsFetched(net.now, 0, None),
        )
        return
    latest = net.vm_revision_by_node.get(node.name, net.vm_revision)
    changed = [
        vm
        for revision, vm in net.vms_by_name.values()
        if effect.revision < revision <= latest
    ]
    net.deliver_later(
        node,
        _network.STORE_ROUND_TRIP_S,
        lambda: events.VmsFetched(net.now, latest, changed),
    )


def _rows(result: _table.TableResult) -> dict[str, schema.Row]:
    return {
        key: schema.Row(version, value)
        for key, (version, value) in result.rows.items()
    }
