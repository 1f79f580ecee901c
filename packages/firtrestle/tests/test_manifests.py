from firtrestle.manifests import VERSIONS_KEPT, Manifests
from firtrestle.spreads import SpreadMap


def test_a_shape_is_spread_once_and_never_changes():
    items = SpreadMap()
    made = Manifests(items)
    made.offer("c", 1, (3, 4))
    made.offer("c", 1, (9, 9))
    assert made.of("c") == {1: (3, 4)}
    assert items.take_changed() == [["manifest/c/1", 1, [3, 4]]]


def test_only_the_newest_versions_are_kept_and_no_older_one_comes_back():
    items = SpreadMap()
    made = Manifests(items)
    for version in range(1, VERSIONS_KEPT + 5):
        made.offer("c", version, (1,))
    assert sorted(made.of("c")) == list(range(5, VERSIONS_KEPT + 5))
    assert not items.put("manifest/c/2", 1, [1])
    assert len(items.by_key) == VERSIONS_KEPT


def test_a_malformed_shape_is_refused():
    items = SpreadMap()
    Manifests(items)
    assert not items.put("manifest/c/x", 1, [1])
    assert not items.put("manifest/c/1", 1, [-1])
    assert not items.put("manifest/c/1", 2, [1])
