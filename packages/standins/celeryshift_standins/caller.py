"""The stand-in for a caller: it sends requests, and tells what came back."""

import asyncio
import collections
import json
import sys
from typing import Any

import attrs
import fire
import uvloop

import celeryshift_client

MAX_COUNT = 100_000
MAX_RATE_PER_S = 2_000.0


@attrs.define
class Told:
    """Collect the answers and the refusals."""

    waited_s: list[float] = attrs.field(factory=list)
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def summary(self) -> dict[str, Any]:
        """Give counts, and the median of the waits in milliseconds."""
        ordered = sorted(self.waited_s)
        median = ordered[len(ordered) // 2] if ordered else 0.0
        return {
            'answered': len(ordered),
            'refused': dict(self.refusals),
            'median_wait_ms': round(1000 * median, 3),
        }


async def _send(
    client: celeryshift_client.Client,
    kind: str,
    queue: str,
    payload: dict[str, Any],
    told: Told,
) -> None:
    try:
        answer = await client.request(kind, queue, payload)
        told.waited_s.append(answer['waited_s'])
    except celeryshift_client.ProblemError as error:
        told.refusals[f'{error.reason}, ran: {error.ran}'] += 1
    except celeryshift_client.UnreachableError:
        told.refusals['unreachable'] += 1


async def call(
    url: str,
    token: str,
    kind: str,
    queue: str,
    count: int,
    rate_per_s: float,
    run_s: float,
) -> Told:
    """Send requests at an even rate, and wait for every answer."""
    told = Told()
    loop = asyncio.get_running_loop()
    async with celeryshift_client.Client(url, token) as client:
        began_at = loop.time()
        sent = []
        for number in range(min(count, MAX_COUNT)):
            due_at = began_at + number / min(rate_per_s, MAX_RATE_PER_S)
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            work = _send(client, kind, queue, {'run_s': run_s}, told)
            sent.append(asyncio.create_task(work))
        await asyncio.gather(*sent)
    return told


def main(
    url: str,
    kind: str,
    queue: str,
    token: str = '',
    count: int = 100,
    rate_per_s: float = 100.0,
    run_s: float = 0.0,
) -> None:
    """Send requests to a node, and print what came back as JSON."""
    told = uvloop.run(call(url, token, kind, queue, count, rate_per_s, run_s))
    sys.stdout.write(json.dumps(told.summary()) + '\n')


if __name__ == '__main__':
    fire.Fire(main, command=sys.argv[1:])
