"""Mechanisms of the request path that operators can switch off.

A mechanism that is off leaves the plainer behaviour it was built on, so that
its worth can be measured against live traffic: docs/ABLATION.md has the table.
"""

from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism, by its name in the settings."""

    # Homes of keys in the caller's region as far as its slots go; without it,
    # near upstreams weigh more by fixed factors.
    near_preferred = 'near-homes'
    # Keys move off an upstream that stays more crowded than the others.
    rebalancing = 'relief'
    # A silent upstream's request goes to a second one, if it may run again.
    hedging = 'hedging'
    # Upstreams that are far slower than usual, or fail often, are left out.
    ejection = 'ejection'
    # An upstream that turns a request away is as full as it says, not full.
    reported_rejections = 'told-rejections'
