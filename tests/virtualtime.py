"""Event loop whose clock advances at once to the next timer.

Tests on it don't depend on the load of the machine. They must do no I/O.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from unittest import mock

# If the clock stands still for so many iterations of the loop, tasks only wake
# each other.
MAX_STILL_ITERATIONS = 1_000_000


class _Selector(selectors.SelectSelector):
    """Selector that advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self._still_iterations = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; advance the clock if nothing is."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('nothing is scheduled, so time stands still')
        self._still_iterations += 1
        if timeout > 0:
            self._still_iterations = 0
            self.now += timeout
        elif self._still_iterations > MAX_STILL_ITERATIONS:
            raise RuntimeError('time stands still while tasks run')
        return ready


class _Loop(asyncio.SelectorEventLoop):
    """Event loop on virtual time."""

    # Simulated network, through which all connections go.
    network: Any = None

    def __init__(self) -> None:
        self._clock = _Selector()
        super().__init__(self._clock)

    async def create_connection(self, *arguments: Any, **_: Any) -> Any:
        """Connect through the simulated network."""
        return await self.network.connect(*arguments)

    def time(self) -> float:
        """Return the virtual time."""
        return self._clock.now


def run(work: Coroutine[Any, Any, Any], limit_s: float = 60.0) -> Any:
    """Run a coroutine in virtual time, for at most ``limit_s`` of it."""

    async def run_bounded() -> Any:
        loop = asyncio.get_running_loop()
        # Code under test reads the clock directly.
        with mock.patch('time.monotonic', loop.time):
            async with asyncio.timeout(limit_s):
                return await work

    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(run_bounded())
