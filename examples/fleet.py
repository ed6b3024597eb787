"""Example configuration of a fleet."""

from celeryshift_client import Fleet

fleet = Fleet()
fleet.upstream('coding')
fleet.team('ministry', share=4, limit_slots=64)
fleet.team('public', share=1, limit_slots=16)
fleet.queue('field')
fleet.queue('walk-in', open_for='public')
fleet.request('validate', 'coding', urgent=True, timeout_s=2.0)
fleet.request('seal', 'coding', repeatable=False)
fleet.batch('recode', 'coding', max_run_s=6 * 3600.0)
