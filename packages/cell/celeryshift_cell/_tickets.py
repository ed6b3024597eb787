"""Tickets of the policy service."""

import attrs


@attrs.define(slots=True, eq=False)
class Approval:
    """Approval of a worker for a step by the policy service."""

    incarnation: int
    ticket: str
    valid_until: float
