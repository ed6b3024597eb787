"""Count what a node in virtual time sends and receives, and what it costs."""

import asyncio
import collections
from collections.abc import Coroutine
import json
import time
from typing import Any
from unittest import mock

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _peers
from celeryshift_node import _platform
from celeryshift_node import _wire
from celeryshift_node import _workers
from celeryshift_standins import world as worlds

# What aiohttp puts around the bodies of one call on loopback, printed by
# bench.capacity: request line and headers, status line and headers.
HEADER_BYTES = 323
EMPTY_REPLY = 2
TOKEN = 'x' * 32
WORK = frozenset(
    {
        'StartTask',
        'StopTask',
        'SendRequest',
        'ForwardRequest',
        'ForwardJob',
        'ForwardJobAct',
    }
)


@attrs.define
class Flow:
    """Count calls of one kind, their bytes, and processor time."""

    calls: int = 0
    size: int = 0
    cpu_s: float = 0.0


class Codec:
    """Write effects as the node's clients write them.

    Calls must reach its take method in place of the network.
    """

    def __init__(self) -> None:
        self._data = b''
        channels = mock.create_autospec(pools.ChannelPool, instance=True)
        self._peers = _peers.Peers(channels, TOKEN, 'n0:7400/0123456789ab')
        self._workers = _workers.Workers(channels, 1.0)
        self._platform = _platform.Platform(channels, 'http://platform')

    def body(self, effect: effects.Effect) -> bytes | None:
        """Give the body of the call for an effect, None for no call."""
        call = self._call(effect)
        if call is None:
            return None
        self._data = b''
        if isinstance(effect, effects.SendRequest):
            asyncio.run(call)
        else:
            _finish(call)
        return self._data

    async def take(
        self,
        channel: Any,
        method: str,
        url: str,
        body: Any = None,
        *rest: Any,
        **named: Any,
    ) -> _calls.Reply:
        """Note the body of a call that would be made."""
        data = b'' if body is None else json.dumps(body).encode()
        self._data = self._data or data
        return _calls.Reply(events.Outcome.UNSENT)

    def _call(self, effect: Any) -> Coroutine[Any, Any, Any] | None:
        match effect:
            case effects.SyncWorker():
                return self._workers.sync(effect)
            case effects.StartTask():
                return self._workers.start(effect)
            case effects.StopTask():
                return self._workers.stop(effect)
            case effects.SendRequest():
                return self._workers.request(effect, {'run_s': 0.1})
            case effects.SendMessage():
                return self._peers.send(effect)
            case effects.ForwardRequest():
                return self._peers.forward_request(effect, {'run_s': 0.1})
            case effects.ForwardJob():
                return self._peers.forward_job(effect)
            case effects.ForwardJobAct():
                return self._peers.forward_job_act(effect)
            case effects.WriteStore():
                return self._platform.write(effect)
            case effects.ReadStore():
                return self._platform.read(effect)
            case effects.FetchVms():
                return self._platform.fetch_vms(effect.revision)
        return None


class MeteredWorld(worlds.World):
    """Run nodes in virtual time and count what one of them does."""

    def __init__(self, seed: int, metered: str, **options: Any) -> None:
        super().__init__(seed, **options)
        self._metered = metered
        self._codec = Codec()
        self._purpose_by_op: dict[str, str] = {}
        self.metering = False
        self.flows: dict[str, Flow] = {}

    def start_metering(self) -> None:
        """Count from now on."""
        self.flows = collections.defaultdict(Flow)
        self.metering = True

    def run_until(self, when: float) -> None:
        """Let time pass, with bodies written but not sent."""
        with mock.patch.object(_calls, 'call', self._codec.take):
            super().run_until(when)

    def feed(self, node: worlds.Node, event: events.Event) -> None:
        """Give an event to a node, counting if it is the one metered."""
        if not (self.metering and node.name == self._metered):
            super().feed(node, event)
            return
        name, data = _arrival(event, self._purpose_by_op)
        flow = self.flows[name]
        if isinstance(event, events.PeerMessageArrived):
            flow.calls += 1
            flow.size += HEADER_BYTES + EMPTY_REPLY
        flow.size += len(data)
        began = time.process_time()
        _decode(event, data)
        found = core.reduce(node.state, event)
        flow.cpu_s += time.process_time() - began
        for effect in found:
            self._count(effect)
            self._handlers_by_effect[type(effect)](self, node, effect)
        next_at = node.state.timers.next_at
        if next_at is not None:
            self.call_at(next_at, lambda: self._tick(node, next_at))

    def _count(self, effect: effects.Effect) -> None:
        began = time.process_time()
        body = self._codec.body(effect)
        took = time.process_time() - began
        if body is None:
            return
        name = type(effect).__name__
        if isinstance(effect, effects.SendMessage):
            name = type(effect.message).__name__
        if isinstance(effect, effects.WriteStore | effects.ReadStore):
            self._purpose_by_op[effect.op_id] = name
        flow = self.flows[name]
        flow.calls += 1
        flow.size += HEADER_BYTES + len(body)
        if not isinstance(effect, effects.SendRequest):
            flow.cpu_s += took


def _finish(call: Coroutine[Any, Any, Any]) -> None:
    try:
        call.send(None)
    except StopIteration:
        return
    raise AssertionError(call)


def _arrival(
    event: events.Event, name_by_op: dict[str, str]
) -> tuple[str, bytes]:
    """Name the flow of an event, and write the body that brought it."""
    match event:
        case events.PeerMessageArrived():
            body = {
                'sender': event.sender,
                **_wire.encode_message(event.message),
            }
            return type(event.message).__name__, _data(body)
        case events.WorkerSynced():
            return 'SyncWorker', _data(
                {
                    'cursor': event.cursor,
                    'whole': event.whole,
                    'tasks': core.unstructure(event.reports or []),
                }
            )
        case events.StoreWritten() | events.StoreRead():
            name = name_by_op.pop(event.op_id, 'ReadStore')
            rows = event.rows or {}
            body = {
                'rows': {
                    key: [row.version, row.value] for key, row in rows.items()
                }
            }
            return name, _data(body)
        case events.VmsFetched():
            vms = core.unstructure(event.vms or [])
            return 'FetchVms', _data({'revision': event.revision, 'vms': vms})
        case events.TaskStarted():
            return 'StartTask', b'{}'
        case events.RequestAnswered():
            return 'SendRequest', b'{"run_id": "r~1", "answer": {}}'
    return type(event).__name__, b''


def _data(body: Any) -> bytes:
    return json.dumps(body).encode()


def _decode(event: events.Event, data: bytes) -> None:
    document = json.loads(data) if data else {}
    if isinstance(event, events.PeerMessageArrived):
        _wire.decode_message(document)
    elif isinstance(event, events.WorkerSynced):
        for task in document['tasks']:
            _wire.decode_task_report(task)
    elif isinstance(event, events.VmsFetched):
        for vm in document['vms']:
            _wire.decode_vm(vm)
