"""Small cluster on loopback, for trying out the commands."""

import asyncio
import signal
import sys

from celeryshift_standins import bed as beds

WORKERS = 4
NODES = 2


async def _run() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    async with beds.Bed() as bed:
        await bed.add_workers('dc1', WORKERS, 'coding')
        for number in range(NODES):
            await bed.add_node(f'node{number}', 'dc1')
        await bed.wait_for_owners()
        urls = ','.join(node.url for node in bed.nodes_by_name.values())
        sys.stdout.write(
            f'export CELERYSHIFT_URL={urls}\n'
            f'export CELERYSHIFT_TOKEN={beds.OPERATOR_TOKEN}\n'
        )
        sys.stdout.flush()
        await stopped.wait()


def main() -> None:
    """Run the cluster until it is interrupted, then kill its processes."""
    asyncio.run(_run())


if __name__ == '__main__':
    main()
