"""Requests that several daemons run are freed by their reference counts alone, at each of them."""

import gc
from collections import Counter

import pytest
from firtrestle.clocks import Millis, sleep
from firtrestle.messages import Relayed
from firtrestle.peers import PeerFailure
from firtrestle.uplinks import UplinkState
from route_fakes import failed, good, lost, plain_route, run_with_harness, scatter_route
from split_fakes import FROZEN, fleet_of, route, run
from test_relays import cut_daemon

KEPT_TYPES = frozenset(
    {
        "Answer",
        "Attempt",
        "CallerMessage",
        "InstanceCall",
        "InstanceReply",
        "PartialGather",
        "PeerPart",
        "Refused",
        "Relay",
        "Relayed",
        "RelayResult",
        "RoutedRequest",
        "SplitGather",
    }
)
REQUESTS = 3
END_TIME = Millis(2_000)


def count_kept():
    names = (type(each).__name__ for each in gc.get_objects())
    return Counter(name for name in names if name in KEPT_TYPES)


async def check_freed(ask, forget):
    """Check that requests leave nothing behind once the fakes have forgotten them."""
    await ask()
    await sleep(END_TIME)
    forget()
    gc.collect()
    gc.disable()
    try:
        before = count_kept()
        for _ in range(REQUESTS):
            await ask()
        await sleep(END_TIME)
        forget()
        assert count_kept() - before == Counter()
    finally:
        gc.enable()


# Guards against memory that is kept for requests that another daemon has run (review case 8).
@pytest.mark.parametrize("state", [UplinkState.DOWN, UplinkState.TRIAL])
@pytest.mark.parametrize("reply", [good, failed, lambda instance: lost()])
@pytest.mark.parametrize("asked", [scatter_route(3), plain_route()], ids=["gather", "single"])
def test_a_relayed_request_is_freed_at_both_daemons(asked, reply, state):
    async def body(harness):
        cut, peer = cut_daemon(harness, state=state)

        def forget():
            harness.pools.sends.clear()
            peer.relays.clear()

        async def ask():
            await cut.ask(asked)

        await check_freed(ask, forget)

    run_with_harness(lambda instance, nth: (5, reply(instance)), body)


@pytest.mark.parametrize("answer", [Relayed(refusal="overloaded"), PeerFailure(True, "lost")])
def test_a_request_that_no_peer_answers_is_freed(answer):
    async def body(harness):
        cut, peer = cut_daemon(harness)
        peer.interfere["p1"] = answer

        def forget():
            harness.pools.sends.clear()
            peer.relays.clear()

        async def ask():
            await cut.ask(scatter_route(3))
            await sleep(Millis(600))  # a peer that refused is set aside

        await check_freed(ask, forget)

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


@pytest.mark.parametrize("answer", ["serve", FROZEN, Relayed(refusal="overloaded")])
def test_a_divided_gather_is_freed_at_all_daemons(answer):
    async def body(harness):
        fleet = fleet_of(harness)
        fleet.peer_by_id["p1"].answer = answer

        def forget():
            fleet.daemon.pools.sends.clear()
            for peer in fleet.peer_by_id.values():
                peer.relays.clear()
                peer.pools.sends.clear()

        async def ask():
            await fleet.daemon.ask(route())

        await check_freed(ask, forget)

    run(body)
