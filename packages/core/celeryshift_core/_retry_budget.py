"""Budgets of retries: a part of what each team sends, and a few to spare.

When everything fails, retries would multiply the load; with a budget they
add a tenth to it.

Source: Beyer et al., Site Reliability Engineering, chapter 21, 2016.
"""

import attrs

EARNED_PER_REQUEST = 0.1
MAX_RETRIES = 10.0
RETRY_COST = 1.0


@attrs.define(eq=False)
class RetryBudget:
    """Hold the retries that a team may still make from this node."""

    remaining: float = MAX_RETRIES

    def earn(self) -> None:
        """Note a request that is sent for the first time."""
        self.remaining = min(MAX_RETRIES, self.remaining + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Take the cost of one retry, if there is enough left."""
        if self.remaining < RETRY_COST:
            return False
        self.remaining -= RETRY_COST
        return True
