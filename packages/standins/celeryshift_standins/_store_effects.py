"""The table service and the VM list, as nodes reach them."""

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
    """Write rows, and answer unless the answer is lost."""
    asked_at = net.now

    def answer(outcome: Outcome, version: int, rows: Any) -> Any:
        return lambda: events.StoreWritten(
            net.now, effect.op_id, outcome, version, rows
        )

    def apply() -> None:
        lost = answer(Outcome.UNKNOWN, 0, {})
        if not net.to_store(node):
            net.after(node, _network.CALL_TIMEOUT_S, lost)
            return
        found = net.table.transact(
            effect.checks,
            effect.puts,
            list(effect.deletes),
            list(effect.prefixes),
        )
        if net.answers_to_lose > 0:
            net.answers_to_lose -= 1
            net.after(node, _network.CALL_TIMEOUT_S, lost)
        elif not net.from_store(node, asked_at):
            net.after(node, _network.CALL_TIMEOUT_S, lost)
        else:
            outcome = Outcome.OK if found.ok else Outcome.REFUSED
            reply = answer(outcome, found.version, _rows(found))
            net.after(node, _network.STORE_S / 2, reply)

    net.call_at(net.now + _network.STORE_S / 2 + net.store_slow_s, apply)


def read(net: _network.Network, node: Node, effect: effects.ReadStore) -> None:
    """Read rows, if the store can be reached."""
    asked_at = net.now

    def apply() -> None:
        rows = None
        wait_s = _network.CALL_TIMEOUT_S
        if net.to_store(node) and net.from_store(node, asked_at):
            found = net.table.read(list(effect.keys), list(effect.prefixes))
            rows = _rows(found)
            wait_s = _network.STORE_S / 2
        net.after(
            node,
            wait_s,
            lambda: events.StoreRead(net.now, effect.op_id, rows),
        )

    net.call_at(net.now + _network.STORE_S / 2 + net.store_slow_s, apply)


def fetch_vms(
    net: _network.Network, node: Node, effect: effects.FetchVms
) -> None:
    """Give the VMs whose entries have changed."""
    if not (net.to_store(node) and net.from_store(node, net.now)):
        net.after(
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
    net.after(
        node,
        _network.STORE_S,
        lambda: events.VmsFetched(net.now, latest, changed),
    )


def _rows(answer: _table.TableResult) -> dict[str, schema.Row]:
    return {
        key: schema.Row(version, value)
        for key, (version, value) in answer.rows.items()
    }
