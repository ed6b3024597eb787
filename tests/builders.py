"""Builders of test data."""

import celeryshift_client

SECRET = 'secret-of-the-tests'
UPSTREAM = 'coding'


def fleet() -> celeryshift_client.Fleet:
    """Build a configuration with a kind of work for each policy."""
    made = celeryshift_client.Fleet(replace=True)
    made.upstream(UPSTREAM)
    made.team('ministry', share=4, limit_slots=64)
    made.team('public', share=1, limit_slots=64)
    made.key('k1', 'ministry', SECRET)
    made.queue('field')
    made.queue('walk-in', open_for='public')
    made.request('validate', UPSTREAM, urgent=True, timeout_s=5.0)
    made.request('seal', UPSTREAM, repeatable=False, timeout_s=5.0)
    made.batch('recode', UPSTREAM)
    made.gang('panel', UPSTREAM)
    made.service('keeper', UPSTREAM)
    return made


def token() -> str:
    """Give the key that the fleet's callers show."""
    return f'k1.{SECRET}'
