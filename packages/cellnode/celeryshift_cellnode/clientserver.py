"""Bodies of calls, whose memory is bounded."""

from celeryshift_cellnode._clientserver import Body
from celeryshift_cellnode._clientserver import BodyBudget

__all__ = ['Body', 'BodyBudget']
