"""Images that slow down others on the same worker."""

import json
import math

import attrs
import pytest
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import _interference
from celeryshift_cell import _learning
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

TARGET_MS = 100
ALONE_MS = 60
POLL_S = 0.4


class Site(cells.Bench):
    """Cell whose workers report the latencies of serving tasks."""

    def __init__(self, workers=6, **options):
        self.names = [f'w{number}' for number in range(workers)]
        entries = tuple(
            cells.entry(name, labels=(name,)) for name in self.names
        )
        super().__init__(entries, options=cell.Options(**options))
        self.now = 1.0
        # Slowdowns by (disturbed image, disturbing image).
        self.ratios = {}

    def put(self, image, worker='', target_ms=0):
        """Start a task of an image, on a given worker if one is named."""
        step = cells.step(
            1,
            image=image,
            target_ms=target_ms,
            is_lasting=True,
            required_label=worker,
        )
        (order,) = self.accept(cells.job(f'j{self.version:06d}x', step))
        self.answer_start(order)
        return order.worker_id

    def serve(self, worker):
        """Start a serving task."""
        self.put('web', worker, TARGET_MS)

    def run(self, seconds):
        """Let the workers report for a while; return the decisions."""
        decisions = []
        for _ in range(round(seconds / POLL_S)):
            for name in self.names:
                self.answer_poll(name, self._statuses(name))
            decisions += [
                effect
                for effect in self.tick(POLL_S)
                if isinstance(effect, effects.LogDecision)
                and effect.decision.startswith('interference')
            ]
        return decisions

    def end(self, order):
        """End a run."""
        ended = events.RunCompletion(
            self.state.workers[order.worker_id].last_completion + 1,
            order.task,
            order.run,
            model.RunResult.DONE,
            '',
        )
        others = tuple(
            status
            for status in self._statuses(order.worker_id)
            if status.task != order.task
        )
        self.answer_poll(order.worker_id, others, (ended,))
        self.tick()

    def _statuses(self, name):
        runs = self.state.workers[name].runs
        images = {key: run.task.step.spec.image for key, run in runs.items()}
        statuses = []
        for key, run in runs.items():
            load = 500
            if run.task.step.spec.target_ms:
                load = ALONE_MS
                for other, image in images.items():
                    if other != key:
                        load *= self.ratios.get((images[key], image), 1)
            statuses.append(events.RunStatus(*key, '', 100, round(load)))
        return tuple(statuses)

    @property
    def found(self):
        """Return the pairs that count."""
        return set(self.state.run_times.interference.found)


def _disturbed_site(**options):
    """Return a site on which one image disturbs, and another is beside it.

    Both run beside three serving tasks, and the innocent one beside a fourth.
    """
    site = Site(**options)
    site.ratios['web', 'noisy'] = 2.5
    for name in site.names[:5]:
        site.serve(name)
    for name in site.names[:3]:
        site.put('noisy', name)
        site.put('innocent', name)
    site.put('innocent', site.names[3])
    return site


def test_the_disturbing_image_is_found_and_the_innocent_one_is_not():
    # Whatever ran beside the disturbing image was blamed as well.
    site = _disturbed_site()
    decisions = site.run(10)
    assert site.found == {('web', 'noisy')}
    assert [d.decision for d in decisions] == ['interference_found']
    ratio = math.exp(site.state.run_times.interference.found['web', 'noisy'])
    assert ratio == pytest.approx(2.5, rel=0.25)


def test_disturbing_tasks_start_elsewhere_if_there_is_a_choice():
    site = _disturbed_site()
    site.run(10)
    # It is the least full one, and packing would choose another.
    assert site.put('noisy') == 'w5'
    assert site.put('web', target_ms=TARGET_MS) != 'w5'
    for name in site.names[3:]:
        site.put('filling', name)
    worker = site.put('noisy', 'w4')
    assert worker == 'w4'


def test_a_pair_that_changes_within_seconds_is_followed():
    site = _disturbed_site()
    site.run(10)
    site.ratios = {}
    decisions = site.run(10)
    assert not site.found
    assert [d.decision for d in decisions] == ['interference_gone']
    site.ratios = {('web', 'noisy'): 2.5}
    site.run(4)
    assert site.found == {('web', 'noisy')}


def test_the_blame_moves_to_another_image_within_the_half_life():
    # On three of four workers, both images run.
    site = _disturbed_site()
    site.run(10)
    site.ratios = {('web', 'innocent'): 2.5}
    site.run(1.25 * _interference.HALF_LIFE_S)
    assert site.found == {('web', 'innocent')}


def test_a_pair_without_new_measurements_is_tried_again():
    # One bad minute would otherwise keep two images apart for ever.
    site = _disturbed_site()
    site.run(10)
    for _ in range(10):
        site.tick(4 * _interference.HALF_LIFE_S / 10)
    assert not site.found


def test_false_reports_count_as_single_bad_measurements():
    site = _disturbed_site()
    site.ratios = {}
    site.run(10)
    site.ratios = {('web', 'noisy'): 10**9}
    site.run(POLL_S)
    site.ratios = {}
    site.run(4)
    assert not site.found


def test_the_pairs_are_bounded():
    site = Site(workers=1)
    site.serve('w0')
    (key,) = site.state.workers['w0'].runs
    serving = site.state.workers['w0'].runs[key]
    other = site.put('other-0', 'w0')
    runs = site.state.workers[other].runs
    (beside,) = (run for run in runs.values() if run is not serving)
    step = beside.task.step
    for number in range(_interference.MAX_PAIRS + 50):
        step.spec = attrs.evolve(step.spec, image=f'other-{number}')
        site.run(POLL_S)
    pairs = site.state.run_times.interference.pairs
    assert len(pairs) == _interference.MAX_PAIRS
    assert ('web', 'other-0') not in pairs
    assert ('web', '') in pairs


def test_learning_can_be_switched_off():
    site = _disturbed_site(learn_interference=False)
    assert not site.run(10)
    assert not site.state.run_times.interference.pairs


def test_slow_run_times_are_attributed_to_the_image_beside_them():
    # Tasks without a latency show interference in their run times.
    site = Site(workers=2)
    for name in site.names:
        entry = site.state.workers[name].entry
        entry = attrs.evolve(entry, kind='x')
        site.send(events.WorkersChanged(0.0, (entry,)))
    site.put('noisy', 'w1')
    for number in range(40):
        for name, run_s in (('w0', 1.0), ('w1', 2.0)):
            step = cells.step(1, image='batch', required_label=name)
            described = cells.job(f'b{name}{number:04d}x', step)
            (order,) = site.accept(described)
            site.answer_start(order)
            site.run(POLL_S)
            site.now += run_s - POLL_S
            site.end(order)
    assert ('batch', 'noisy') in site.found


def test_the_pairs_outlive_the_owner():
    site = _disturbed_site()
    site.run(10)
    row = _learning.take(site.state)
    row = row or _learning._encode(site.state)
    assert ['web', 'noisy'] in [pair[:2] for pair in json.loads(row)['pairs']]
    successor = Site()
    _learning.restore(successor.state, row)
    successor.tick()
    assert successor.found == {('web', 'noisy')}


@pytest.mark.parametrize(
    'pairs', [[['a', 'b', 1e9, 1]], [['a', 'b', 0, 2]], [7], [['a', 'b', 'c']]]
)
def test_pairs_that_cannot_be_read_are_ignored(pairs):
    site = Site()
    _learning.restore(site.state, json.dumps({'pairs': pairs}))
    assert not site.state.run_times.interference.pairs
