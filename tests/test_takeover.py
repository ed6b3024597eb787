"""Guards against two nodes acting on a slice at the same time.

Such a fault comes about if a node takes a slice over while its owner still
has a valid lease or promises. Each rule of the protocol is also disabled in
turn, to check that the exploration then finds the fault.
"""

import pytest
import takeover

from celeryshift_core import _assignment
from celeryshift_core import _ownership
from celeryshift_core import _promises

STEPS = 9
HALF_SECOND_STEPS = 24
WALKS = 60
WALK_STEPS = 60
HEAL_S = 40.0


def _any_promise(state):
    """Disable the rule that every node asked has to promise."""
    return max(state.promises.promised_until_by_peer.values(), default=0.0)


def _row_version(state, owner, outbox):
    """Use the row version of the owner instead of its basis."""
    owner.basis = owner.row_version
    return MAY_ACQUIRE(state, owner, outbox)


def _is_to_address(state, node):
    """Ignore the incarnation, which is part of a node's name."""
    return node.partition('/')[0] == state.options.address


def _may_vouch_by_address(state, basis):
    """Let a restarted process vouch in place of the one before it."""
    return state.options.address == 'b' or MAY_VOUCH(state, basis)


MAY_VOUCH = _promises._may_vouch
MAY_ACQUIRE = _promises.may_acquire

# The rule that is disabled, the patches for it, and the faults to inject.
DISABLED_RULES = {
    'every node promises': (
        ((_promises, '_covered_until', _any_promise),),
        ('join', 'cut a', 'link ab'),
    ),
    'a promise is waited out': (
        ((_promises, '_own_promise_ended', lambda state, owner: True),),
        ('cut a',),
    ),
    'a taker promises nothing more': (
        ((_promises, '_fence', lambda state, node, version: None),),
        ('cut ab', 'join'),
    ),
    'only nodes that are asked may take': (
        ((_promises, '_needs_promise', lambda state, basis: True),),
        ('cut ab', 'join'),
    ),
    'promises count from the question': (
        ((_promises, '_promise_start', lambda state, message: state.now),),
        ('cut a', 'slow'),
    ),
    'the basis goes by confirmed renewals': (
        ((_promises, 'may_acquire', _row_version),),
        ('join', 'tear', 'cut b'),
    ),
    'a silent node is not a gone one': (
        ((_promises, 'is_gone', lambda state, peer: True),),
        ('cut a',),
    ),
    'a lease is waited out': (
        (
            (_ownership, '_may_be_live', lambda state, peer: False),
            (
                _assignment,
                'is_registration_current',
                lambda state, peer: False,
            ),
        ),
        ('cut a',),
    ),
    'a restarted process is another node': (
        (
            (_promises, '_is_for_this_process', _is_to_address),
            (_promises, '_may_vouch', _may_vouch_by_address),
        ),
        ('cut ab', 'join', 'restart b'),
    ),
}


def test_no_schedule_lets_two_nodes_act():
    exploration = takeover.Exploration(2, 3, STEPS)
    exploration.explore()
    assert exploration.states > 1000


def test_long_walks_end_with_one_owner():
    for seed in range(WALKS):
        model = takeover.walk(seed, WALK_STEPS)
        model.heal()
        model.run(model.now + HEAL_S)
        assert len(model.acting()) == 1, seed


@pytest.mark.parametrize('rule', DISABLED_RULES)
def test_the_exploration_sees_a_rule_left_out(rule, monkeypatch):
    patches, actions = DISABLED_RULES[rule]
    for patch in patches:
        monkeypatch.setattr(*patch)
    exploration = takeover.Exploration(
        len(actions), 10, HALF_SECOND_STEPS, actions, step_s=0.5
    )
    with pytest.raises(takeover.OwnedTwiceError):
        exploration.explore()
