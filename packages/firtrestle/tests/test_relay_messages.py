from dataclasses import replace

import pytest
from firtrestle.clocks import Millis
from firtrestle.instance_replies import CallerMessage
from firtrestle.messages import Relay, Relayed
from firtrestle.relay_messages import RelayTerms, decode_relay, decode_result, encode_relay
from firtrestle.routed_requests import RoutedRequest
from firtrestle.routes import RouteTable
from route_fakes import scatter_route


def new_relay(priority: int = 1) -> Relay:
    message = CallerMessage("r", "GET", "/p/x", "h", (), b"")
    route = scatter_route(2, priority=priority)
    request = RoutedRequest(message, route, RouteTable(), Millis(0), Millis(1_000))
    return encode_relay(request, RelayTerms(("s0", "s1")), Millis(5), Millis(500))


# Guards against the repeats of a less urgent route being paid as the most urgent one's by a peer.
def test_a_peer_runs_a_request_with_the_priority_of_its_route():
    request, _ = decode_relay(new_relay(priority=2), RouteTable(), Millis(0))
    assert request.route.priority == 2


def test_a_relay_of_an_earlier_build_has_the_most_urgent_priority():
    values = {name: getattr(new_relay(), name) for name in Relay.__slots__ if name != "priority"}
    request, _ = decode_relay(Relay(**values), RouteTable(), Millis(0))
    assert request.route.priority == 0


@pytest.mark.parametrize("priority", ["1", None, 1.5, True])
def test_a_malformed_priority_is_a_fault(priority):
    relay = replace(new_relay(), priority=priority)
    assert decode_relay(relay, RouteTable(), Millis(0)) == "priority malformed"


# Guards against an undefined status of an instance reaching a caller by way of a peer, as a part of
# a gather or as the failure of a single service.
@pytest.mark.parametrize("status", [0, 99, 100, 600, 999, True])
@pytest.mark.parametrize("is_failure", [False, True])
def test_a_relayed_reply_with_an_undefined_status_is_no_answer(status, is_failure):
    row = [status, "stamp", [], b""]
    relayed = Relayed(sent=1, may_have_run=True)
    if is_failure:
        relayed.failure = row
    else:
        relayed.replies = [["s0", *row]]
    result = decode_result(relayed, RelayTerms(("s0",)))
    assert result.is_lost
    assert result.summary.may_have_run
    assert result.summary.last_failure is None


def test_a_relayed_reply_with_a_defined_status_is_an_answer():
    relayed = Relayed(replies=[["s0", 200, "stamp", [], b"x"]], sent=1, may_have_run=True)
    assert decode_result(relayed, RelayTerms(("s0",))).reply_by_service["s0"].body == b"x"
