"""How many tokens of a grant a router may use before its next renewal.

Tokens allowed in advance serve requests during an outage of the store.  They are lost
if the router is killed, because its successor cannot prove that they were not used.  So
the allowance is large while the budget is full, when a loss is affordable, and small
when the budget is nearly spent.
"""

from __future__ import annotations

from attrs import frozen

from ebonyhold.prepaid._limits import SpendingLimit
from ebonyhold.types import Seconds, Tokens

LOW_LEVEL = 0.1
"""Unspent fraction of a budget at and below which the allowance is smallest."""

FULL_LEVEL = 0.6
"""Unspent fraction of a budget at and above which the allowance is largest.

A budget for one day is above this level until the middle of the day.  Tokens lost by
kills before that rarely cause refusals at the end of the day.
"""

MIN_FACTOR = 0.1
"""Smallest fraction of the full allowance, used when a budget is nearly spent.

An outage may begin at any time, and at least this fraction of its demand is covered.
"""


HEADROOM_RENEWALS = 4.0
"""The headroom covers the demand expected during this many renewal delays."""

MAX_HEADROOM = 2.0
"""Maximum headroom of a limit, in requests of the typical size."""


@frozen
class AllowanceInputs:
    """The values from which an allowance is computed.

    Attributes:
        used: Tokens charged, held or given away since the router started, less those
            received; at least 0.
        asked: Tokens for which requests are waiting.
        rate: Expected demand, in tokens per second.
        typical: Typical request size, in tokens.
        cover: Tokens that should be available when an outage begins.
        horizon: Length of the outage for which `cover` and the later rate are computed.
        level: Unspent fraction of the budget.
        delay: Typical time until a renewal is acknowledged.
    """

    used: Tokens
    asked: Tokens
    rate: float
    typical: float
    cover: float
    horizon: Seconds
    level: float
    delay: Seconds = 0.0


def allowance_factor(level: float) -> float:
    """Return the fraction of the full allowance, from `MIN_FACTOR` to 1.

    >>> [round(allowance_factor(level), 2) for level in (1.0, 0.6, 0.35, 0.1, 0.0)]
    [1.0, 1.0, 0.5, 0.1, 0.1]
    """
    part = (level - LOW_LEVEL) / (FULL_LEVEL - LOW_LEVEL)
    return min(1.0, max(MIN_FACTOR, part))


def allowance(inputs: AllowanceInputs) -> SpendingLimit:
    """Return the spending limit for the next renewal.

    While renewals are fast, the limit has almost no headroom: simultaneous requests
    wait for the same renewal, and a kill loses only tokens in use.  While the store is
    slow, the headroom covers the expected demand during a few renewals, because
    requests that wait for a renewal would miss their deadlines.  In an outage the limit
    grows at the mean demand rate; a router that needs more receives transfers.

    If the mean demand of an outage is less than one request, it is no useful estimate.
    The limit then has headroom for one request and grows by `cover` during an outage.

    The headroom, the early rate and the growth by `cover` are smaller if less of the
    budget is left.
    """
    factor = allowance_factor(inputs.level)
    mean = inputs.rate * inputs.horizon
    ahead = inputs.rate * inputs.delay * HEADROOM_RENEWALS
    rare = mean < max(inputs.typical, 1.0)
    minimum = inputs.typical if rare else 0.0
    headroom = min(max(ahead, minimum), inputs.typical * MAX_HEADROOM) * factor
    extra = factor * max(0.0, inputs.cover - mean) if rare else 0.0
    later = (mean + extra) / inputs.horizon
    return SpendingLimit(
        ceiling=inputs.used + inputs.asked + int(headroom),
        early_rate=later * factor,
        later_rate=later,
    )
