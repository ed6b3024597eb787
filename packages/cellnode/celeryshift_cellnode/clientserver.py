"""Bodies of calls, whose memory is bounded."""

from celeryshift_cellnode._clientserver import Body
from celeryshift_cellnode._clientserver import BodyBudget
from celeryshift_cellnode._clientserver import client_budget

__all__ = ['Body', 'BodyBudget', 'client_budget']
