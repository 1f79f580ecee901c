from firtrestle.gossip_maps import GossipMap
from firtrestle.manifests import MAX_VERSIONS_KEPT, Manifests


def test_manifest_is_published_once_and_never_changes():
    items = GossipMap()
    manifests = Manifests(items)
    manifests.publish("c", 1, (3, 4))
    manifests.publish("c", 1, (9, 9))
    assert manifests.for_collection("c") == {1: (3, 4)}
    assert items.take_changed() == [["manifest/c/1", 1, [3, 4]]]


def test_only_the_newest_versions_are_kept_and_older_ones_are_rejected():
    items = GossipMap()
    manifests = Manifests(items)
    for version in range(1, MAX_VERSIONS_KEPT + 5):
        manifests.publish("c", version, (1,))
    assert sorted(manifests.for_collection("c")) == list(range(5, MAX_VERSIONS_KEPT + 5))
    assert not items.put("manifest/c/2", 1, [1])
    assert len(items.by_key) == MAX_VERSIONS_KEPT


def test_malformed_manifest_is_rejected():
    items = GossipMap()
    Manifests(items)
    assert not items.put("manifest/c/x", 1, [1])
    assert not items.put("manifest/c/1", 1, [-1])
    assert not items.put("manifest/c/1", 2, [1])
