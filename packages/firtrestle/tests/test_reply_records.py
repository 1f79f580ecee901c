import pytest
import trio
from firtrestle.instance_replies import InstanceReply
from firtrestle.outcomes import SubOutcome
from route_fakes import (
    failed,
    good,
    lost,
    misdirected,
    plain_route,
    run_with_harness,
    shed,
    unreachable,
)


def bad() -> InstanceReply:
    return InstanceReply(SubOutcome.BAD_REPLY, 200, reached=True, may_have_run=True)


def given_up() -> InstanceReply:
    reply = lost()
    reply.given_up = True
    return reply


# Guards against blaming instances for what a request or this daemon did.
@pytest.mark.parametrize(
    ("reply", "is_reported"),
    [
        (lambda instance: lost(), True),
        (lambda instance: bad(), True),
        (lambda instance: shed(), True),
        (good, False),
        (failed, False),
        (lambda instance: misdirected(), False),
        (lambda instance: unreachable(), False),
        (lambda instance: given_up(), False),
    ],
    ids=["lost", "bad", "shed", "good", "failed", "misdirected", "unreachable", "given-up"],
)
def test_broken_invalid_and_shed_replies_are_reported(reply, is_reported):
    async def body(harness):
        await harness.ask(plain_route())
        assert harness.tools.failing_reports.is_empty is not is_reported

    run_with_harness(lambda instance, nth: (5, reply(instance)), body, services=1)


# Guards against a daemon that has lost its links telling all others that no instance works.
def test_nothing_is_reported_while_no_instance_has_long_been_heard():
    async def body(harness):
        await trio.sleep(2.0)
        await harness.ask(plain_route())
        assert harness.tools.failing_reports.is_empty
        harness.tools.uplink.record_heard()
        await harness.ask(plain_route())
        assert not harness.tools.failing_reports.is_empty

    run_with_harness(lambda instance, nth: (5, lost()), body, services=1)
