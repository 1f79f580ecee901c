"""Check which data centres count as evacuated, what is logged, and what requests do then."""

from dataclasses import replace

from firtrestle.answers import Answer
from firtrestle.clocks import Millis, sleep
from firtrestle.departures import Departures
from firtrestle.errors import ErrorKind, Ran, Refused
from firtrestle.evacuations import Evacuations
from firtrestle.gossip_maps import GossipMap
from firtrestle.instance_replies import CallerMessage, unsent_reply
from firtrestle.instances import Instance, Instances
from firtrestle.loop_monitors import LoopMonitor
from firtrestle.outcomes import SubOutcome
from firtrestle.relay_messages import RelayTerms, encode_relay
from firtrestle.relay_servers import RelayServer
from firtrestle.route_fronts import RouteState
from firtrestle.routed_requests import RoutedRequest
from loguru import logger
from manual_clocks import ManualClock
from route_fakes import good, plain_route, run_with_harness, scatter_route


def build():
    clock = ManualClock()
    evacuations = Evacuations(clock)
    notified = []
    evacuations.add_listener(notified.append)
    return evacuations, clock, notified


def test_listeners_hear_of_each_zone_once_as_it_is_added_and_once_as_it_is_withdrawn():
    evacuations, _, notified = build()
    assert evacuations.is_empty
    evacuations.put("z1", 5)
    evacuations.put("z1", 7)
    assert (evacuations.covers("z1"), evacuations.covers("z2")) == (True, False)
    assert (evacuations.zones(), evacuations.is_empty) == (["z1"], False)
    evacuations.remove("z2", 8)
    evacuations.remove("z1", 9)
    evacuations.remove("z1", 10)
    assert evacuations.is_empty
    assert notified == ["z1", "z1"]


def test_status_shows_the_zones_with_revisions_and_times_in_force():
    evacuations, clock, _ = build()
    evacuations.put("z1", 5)
    clock.jump(1.5)
    evacuations.put("z1", 7)
    assert evacuations.status() == {"z1": {"revision": 7, "in_force_ms": 1_500}}


# Guards against an evacuation whose effect operators can't find in the logs.
def test_an_evacuation_that_takes_force_or_ends_is_logged_with_revision_and_age():
    records = []
    handler = logger.add(lambda message: records.append(message.record))
    evacuations, clock, _ = build()
    evacuations.put("z1", 5, Millis(200))
    clock.jump(2.0)
    evacuations.remove("z1", 9, Millis(float("inf")))
    logger.remove(handler)
    assert [(record["message"], record["extra"]) for record in records] == [
        ("evacuation in force", {"zone": "z1", "revision": 5, "registry_age_ms": 200}),
        (
            "evacuation ended",
            {"zone": "z1", "revision": 9, "registry_age_ms": None, "in_force_ms": 2_000},
        ),
    ]


# Guards against the last resort of a service being an instance in an evacuated data centre.
def test_no_instance_of_an_evacuated_data_centre_serves_also_as_a_last_resort():
    clock = ManualClock()
    departures = Departures(GossipMap(), clock, Millis(3_000))
    evacuations = Evacuations(clock)
    instances = Instances(clock, lambda ids: None, departures, evacuations=evacuations)
    near = Instance("near", "s", "h", 1, "z1", 3, False, 1)
    far = Instance("far", "s", "h", 1, "z2", 3, False, 1)
    for revision, instance in enumerate((near, far), start=1):
        instances.put(instance, revision)
    assert instances.serving("s") == (near, far)
    evacuations.put("z1", 5)
    assert instances.serving("s") == (far,)
    departures.record(near, "r", 200)
    departures.record(far, "r", 200)
    instances.refresh()
    assert instances.serving("s") == (far,)
    evacuations.put("z2", 6)
    assert instances.serving("s") == ()
    evacuations.remove("z1", 7)
    assert instances.serving("s") == (near,)


def move(harness, data_centre, *ids):
    """Register instances in another data centre."""
    for id_ in ids:
        service = id_.partition("-")[0]
        harness.tools.instances.put(Instance(id_, service, "h", 1, data_centre, 3, False, 1), 2)


# Guards against a gather that waits for a shard whose instances are all in evacuated data centres.
def test_a_shard_in_evacuated_data_centres_is_missing_at_once():
    async def body(harness):
        move(harness, "away", "s0-0", "s0-1", "s0-2", "s1-0")
        harness.tools.instances.evacuations.put("away", 5)
        started_at = harness.tools.clock.now()
        answer, gather = await harness.ask(scatter_route(3, least_coverage=0.6))
        assert isinstance(answer, Answer)
        assert answer.missing == 1
        assert gather.attempt_summary.reason_by_service == {"s0": SubOutcome.NO_REPLICA}
        assert harness.tools.clock.now() - started_at < 10
        assert not {"s0-0", "s0-1", "s0-2", "s1-0"} & set(harness.pools.sent)

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


# Guards against a refusal that comes late, or does not say that the request has not run.
def test_a_request_whose_shards_are_evacuated_is_refused_at_once_as_not_run():
    async def body(harness):
        harness.tools.instances.evacuations.put("dc", 5)
        started_at = harness.tools.clock.now()
        for route in (scatter_route(3), plain_route()):
            refused, _ = await harness.ask(route)
            assert isinstance(refused, Refused)
            assert (refused.kind, refused.ran) == (ErrorKind.NO_TARGET, Ran.FALSE)
        assert harness.tools.clock.now() == started_at
        assert harness.pools.sent == []

    run_with_harness(lambda instance, nth: (5, good(instance)), body)


# Guards against hedges and retries to a data centre that is evacuated while a request runs.
def test_a_request_goes_on_at_other_instances_when_a_data_centre_is_evacuated():
    async def body(harness):
        move(harness, "away", "s0-1", "s0-2")

        async def evacuate():
            await sleep(Millis(10))
            harness.tools.instances.evacuations.put("dc", 5)

        harness.pools.nursery.start_soon(evacuate)
        answer, _ = await harness.ask(plain_route(max_attempts=3))
        assert isinstance(answer, Answer)
        assert harness.pools.sent[0] == "s0-0"
        assert harness.pools.sent[1] in ("s0-1", "s0-2")

    def behave(instance, nth):
        if instance.data_centre == "dc":
            return 20, unsent_reply(SubOutcome.DRAINING, "evacuated")
        return 5, good(instance)

    run_with_harness(behave, body)


# Guards against requests of peers reaching an evacuated data centre from a daemon that has started.
def test_a_daemon_that_does_not_know_the_evacuations_runs_no_request_of_a_peer():
    async def body(harness):
        now = harness.tools.clock.now()
        message = CallerMessage("r1", "GET", "/p/x", "h", (), b"")
        route = scatter_route(2)
        request = RoutedRequest(message, route, harness.table, now, Millis(now + 1_000))
        relay = encode_relay(request, RelayTerms(route.shards), Millis(0), Millis(900))
        tools = replace(harness.tools, loop=LoopMonitor(harness.tools.clock))
        knowledge = [False, True]
        server = RelayServer(tools, RouteState(harness.table), lambda: knowledge.pop(0))
        assert (await server.serve(relay)).refusal == "not ready"
        assert harness.pools.sent == []
        assert len((await server.serve(relay)).replies) == 2

    run_with_harness(lambda instance, nth: (5, good(instance)), body)
