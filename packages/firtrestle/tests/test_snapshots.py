from firtrestle.snapshots import build_snapshots, choose_snapshot
from firtrestle.target_reports import SearcherReport, TargetReport, TargetState

DOCUMENTS = {1: (10, 10), 2: (10, 10)}


def report(
    target: str, shards_by_version: dict[int, tuple[int, ...]], state=TargetState.LIVE
) -> TargetReport:
    return TargetReport(target, state, "c", 10, {"s": SearcherReport(1, shards_by_version)})


def test_newest_version_with_a_replica_of_every_shard_is_chosen():
    reports = [report("t0", {1: (0,), 2: (0,)}), report("t1", {1: (1,)})]
    assert choose_snapshot(build_snapshots("c", reports, DOCUMENTS)).version == 1
    reports[1] = report("t1", {1: (1,), 2: (1,)})
    assert choose_snapshot(build_snapshots("c", reports, DOCUMENTS)).version == 2


def test_version_with_most_reachable_documents_is_chosen_if_none_is_complete():
    reports = [report("t0", {1: (0, 1), 2: (0,)}, TargetState.DOWN), report("t1", {2: (1,)})]
    snapshot = choose_snapshot(build_snapshots("c", reports, DOCUMENTS))
    assert (snapshot.version, snapshot.reachable_documents, snapshot.is_complete) == (2, 10, False)


def test_draining_target_is_excluded_from_snapshots():
    reports = [report("t0", {1: (0, 1)}, TargetState.DRAINING), report("t1", {1: (0,)})]
    replicas = choose_snapshot(build_snapshots("c", reports, DOCUMENTS)).replicas_by_shard
    assert {replica.target_id for ids in replicas.values() for replica in ids} == {"t1"}


def test_newer_than_excludes_the_same_and_older_versions():
    snapshots = build_snapshots("c", [report("t0", {1: (0, 1), 2: (0, 1)})], DOCUMENTS)
    assert choose_snapshot(snapshots, newer_than=1).version == 2
    assert choose_snapshot(snapshots, newer_than=2) is None


def test_version_without_a_manifest_is_not_chosen():
    snapshots = build_snapshots("c", [report("t0", {1: (0, 1), 2: (0, 1)})], {1: (10, 10)})
    assert choose_snapshot(snapshots).version == 1
