"""Errors of calls to a node, and of the command line."""

from typing import Any

import celeryshift_core as core


class ProblemError(core.CeleryshiftError):
    """Raised if a node refuses a call; holds its problem document."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        self.status = status
        self.problem = problem
        self.reason = problem['type'].rpartition(':')[2]
        # Value of a core.Ran, as a string.
        self.ran = problem['ran']
        self.retry_after_s = problem.get('retry_after_s')
        detail = problem.get('detail')
        text = f'{self.reason} (ran: {self.ran})'
        super().__init__(f'{text}: {detail}' if detail else text)


class UnreachableError(core.CeleryshiftError):
    """Raised if a node gives no reply, or an invalid one."""

    def __init__(
        self, url: str, cause: str, ran: core.Ran = core.Ran.NO
    ) -> None:
        self.url = url
        self.ran = ran
        super().__init__(f'{url} (ran: {ran.value}): {cause}')


class UsageError(core.CeleryshiftError):
    """Raised for an invalid command line."""
