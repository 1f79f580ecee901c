import random
from collections import Counter

from firtrestle.routes import WeightedService
from route_fakes import plain_route, scatter_route


def test_requests_are_distributed_in_proportion_to_the_weights():
    route = plain_route(choices=(WeightedService("x", 3.0), WeightedService("y", 1.0)))
    rng = random.Random(1)
    count = Counter(route.pick_services(rng)[0] for _ in range(4_000))
    assert 0.72 < count["x"] / 4_000 < 0.78


def test_a_service_with_weight_zero_is_never_picked():
    route = plain_route(choices=(WeightedService("x", 0.0), WeightedService("y", 2.0)))
    assert {route.pick_services(random.Random(seed)) for seed in range(50)} == {("y",)}
    assert (
        plain_route(choices=(WeightedService("x", 0.0),) * 2).pick_services(random.Random()) == ()
    )


def test_a_sharded_route_picks_all_its_shards():
    assert scatter_route(3).pick_services(random.Random()) == ("s0", "s1", "s2")
