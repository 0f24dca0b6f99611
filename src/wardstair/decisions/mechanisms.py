"""Mechanisms of the request path that operators can switch off.

With a mechanism switched off, the simpler behaviour underneath applies, so that
its effect can be measured on live traffic: docs/ABLATION.md has the table.
"""

from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism, identified by its name in the settings."""

    # Prefers upstreams in the caller's region in proportion to the slots there;
    # without it, fixed factors increase the weights of near upstreams.
    near_preferred = 'near-homes'
    # Moves keys off an upstream that stays more loaded than the others.
    rebalancing = 'relief'
    # Sends a request to a second upstream if the first one does not answer and
    # the request is repeatable.
    hedging = 'hedging'
    # Excludes upstreams that are much slower than usual or fail often.
    ejection = 'ejection'
    # Takes the load that an upstream reports when it rejects a request, rather
    # than assuming that it is full.
    reported_rejections = 'told-rejections'
