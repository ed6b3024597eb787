"""Table of where the time of jobs goes, made from log lines."""

import json

from bench import daylog

STEP = 'j.0.0'


def _line(at, decision, **fields):
    entry = {'at': at, 'node': 'n', 'decision': decision, 'job': 'j', **fields}
    return f'  {at:.4f} n {json.dumps(entry)}\n'


LINES = [
    _line(10.1, 'job_taken', queue='checks', age_ms=100),
    _line(10.1, 'step_ready', step=STEP),
    _line(10.1, 'step_waits', step=STEP, why='policy service'),
    _line(10.3, 'step_waits', step=STEP, why='room'),
    _line(10.8, 'tasks_placed', step=STEP, left=1),
    _line(11.0, 'tasks_placed', step=STEP, left=0),
    _line(11.5, 'run_ended', task=f'{STEP}.0'),
    _line(12.0, 'run_ended', task=f'{STEP}.1'),
    _line(12.0, 'job_ended', state='completed'),
    _line(12.1, 'end_recorded', state='completed'),
]


def test_the_parts_of_a_path_add_up_to_its_whole():
    day = daylog.Day()
    # Lines of several nodes are not in order.
    day.read([*LINES[5:], *LINES[:5]])
    head, row = daylog.table(day, 10.0)
    value = dict(zip(head, row, strict=True))
    assert value['queue'] == 'checks'
    assert value['whole ms'] == '2100'
    assert value['acceptance'] == '100'
    assert value['policy service'] == '200'
    assert value['room'] == '700'
    assert value['run'] == '1000'
    assert value['storing'] == '100'


def test_cut_and_foreign_lines_are_counted():
    day = daylog.Day()
    day.read(['a table of the player\n', LINES[0][:-20], *LINES])
    assert (day.foreign, day.unreadable) == (1, 1)
    assert set(day.jobs_by_id) == {'j'}
