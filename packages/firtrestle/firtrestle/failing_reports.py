"""Combine the failed replies that all daemons saw into a verdict: which instances are failing."""

from __future__ import annotations

from firtrestle.instance_reports import InstanceReports


class FailingReports(InstanceReports):
    """Collect reports of replies that broke off, were no answer or were shed.

    Such an instance still answers most requests, so that good replies lift no verdict. Where many
    fail, the one that fails least is still the best choice.
    """

    kind = "failing"
    is_lifted_by_good_replies = False
    holds_if_widespread = True
