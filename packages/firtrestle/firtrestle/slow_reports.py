"""Combine the lost races of all daemons into a verdict: which instances are slow."""

from __future__ import annotations

from firtrestle.instance_reports import InstanceReports


class SlowReports(InstanceReports):
    """Collect reports that instances were slower than others, or silent.

    An instance that is busy for good reasons is late at times, a slow one nearly always, so that a
    reply in time lifts a verdict. Where many are slow the load is too high, and moving it makes
    others slow.
    """

    kind = "slow"
    is_lifted_by_good_replies = True
    holds_if_widespread = False
