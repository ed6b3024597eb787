"""Retry budgets: a fraction of the requests of a team, and a small reserve.

When everything fails, unlimited retries would multiply the load; with a
budget they add a tenth to it.

Source: Beyer et al., Site Reliability Engineering, chapter 21, 2016.
"""

import attrs

EARNED_PER_REQUEST = 0.1
MAX_RETRIES = 10.0
RETRY_COST = 1.0


@attrs.define(eq=False)
class RetryBudget:
    """Retries that a team may still make from this node."""

    remaining: float = MAX_RETRIES

    def earn(self) -> None:
        """Credit the budget for a new request."""
        self.remaining = min(MAX_RETRIES, self.remaining + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Deduct the cost of one retry; return whether it sufficed."""
        if self.remaining < RETRY_COST:
            return False
        self.remaining -= RETRY_COST
        return True
