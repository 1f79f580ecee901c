"""Test how a large fleet shares instances with low connection limits."""

from collections import Counter

import pytest
from firtrestle.instances import Instance
from firtrestle.replica_subsets import FleetSize, ReplicaSubsets, connection_plan

CENTRES = "abcd"


def instance(service, copy, centre):
    return Instance(f"{service}-{copy}", service, "h", 1, centre, 4, False, 1)


def shards(count, replicas=3):
    return [
        tuple(instance(f"s{shard}", copy, CENTRES[copy]) for copy in range(replicas))
        for shard in range(count)
    ]


def daemons(count):
    fleet = []
    for number in range(count):
        subsets = ReplicaSubsets(f"d{number}", CENTRES[number % len(CENTRES)])
        subsets.fleet = FleetSize(count, -(-count // len(CENTRES)))
        fleet.append(subsets)
    return fleet


def connections(fleet, services, limit, is_healthy=lambda candidate: True):
    """Count the connections to each instance if every daemon opens as many as it may."""
    count = Counter()
    for subsets in fleet:
        for serving in services:
            plan = subsets.plan(limit, len(serving))
            for candidate in subsets.choose(serving, limit, is_healthy):
                count[candidate.id] += plan.connections
    return count


@pytest.mark.parametrize(("fleet_size", "limit"), [(61, 62), (69, 66), (9, 31), (7, 26), (40, 62)])
def test_all_daemons_together_stay_within_the_connection_limit(fleet_size, limit):
    count = connections(daemons(fleet_size), shards(36), limit)
    assert max(count.values()) <= limit
    assert len(count) == 3 * 36


def test_each_daemon_uses_two_replicas_per_shard_if_the_limit_rules_out_all():
    for subsets in daemons(61):
        for serving in shards(36):
            assert len(subsets.choose(serving, 62, lambda candidate: True)) == 2


def test_a_failing_replica_is_replaced_by_the_third_until_it_recovers():
    subsets = daemons(61)[0]
    serving = shards(1)[0]
    first = subsets.choose(serving, 62, lambda candidate: True)
    spare = next(candidate for candidate in serving if candidate not in first)
    during = subsets.choose(serving, 62, lambda candidate: candidate != first[0])
    assert during == [first[1], spare]
    assert subsets.choose(serving, 62, lambda candidate: True) == first


def test_the_limit_holds_if_all_daemons_replace_the_same_replica():
    services = shards(36)
    lost = {serving[0].id for serving in services}
    count = connections(daemons(61), services, 62, lambda candidate: candidate.id not in lost)
    assert max(count.values()) <= 62


def test_replicas_in_the_own_data_centre_come_first():
    services = shards(36)
    for subsets in daemons(61)[:3]:
        data_centre = subsets._data_centre
        chosen = [subsets.choose(serving, 62, lambda candidate: True)[0] for serving in services]
        assert {candidate.data_centre for candidate in chosen} == {data_centre}


def test_a_fleet_in_one_data_centre_does_not_overload_the_replica_there():
    fleet = [ReplicaSubsets(f"d{number}", "a") for number in range(61)]
    for subsets in fleet:
        subsets.fleet = FleetSize(61, 61)
    assert max(connections(fleet, shards(36), 62).values()) <= 62 * 0.9


def test_an_added_daemon_moves_no_connection_of_the_others():
    before = daemons(60)
    after = daemons(61)
    for old, new in zip(before, after, strict=False):
        for serving in shards(36):
            assert old.choose(serving, 62, lambda i: True) == new.choose(
                serving, 62, lambda i: True
            )


def test_connections_per_replica_are_reduced_before_replicas_are_left_out():
    assert connection_plan(31, 3, 9).connections == 2
    assert connection_plan(62, 3, 45).subset_size == 3
    assert connection_plan(62, 3, 45).connections == 1
    assert connection_plan(0, 5, 100).subset_size == 5


def test_a_service_without_instances_has_an_empty_subset():
    assert daemons(1)[0].choose((), 62, lambda candidate: True) == []


@pytest.mark.parametrize(
    ("fleet_size", "limit", "replicas", "least", "users"),
    [
        (9, 31, 3, 1, 9),
        (195, 125, 3, 1, 130),
        (1, 0, 3, 16, 16),
        (9, 31, 0, 1, 9),
        (0, 31, 3, 1, 1),
    ],
)
def test_the_expected_users_of_an_instance_follow_from_the_subsets(
    fleet_size, limit, replicas, least, users
):
    subsets = ReplicaSubsets("d1", "a")
    subsets.fleet = FleetSize(fleet_size, 1)
    assert subsets.expected_users(limit, replicas, least) == pytest.approx(users)
