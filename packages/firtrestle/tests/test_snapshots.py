from firtrestle.snapshots import build_snapshots, pin
from firtrestle.target_reports import SearcherReport, TargetReport, TargetState

DOCUMENTS = {1: (10, 10), 2: (10, 10)}


def report(target: str, held: dict[int, tuple[int, ...]], state=TargetState.LIVE) -> TargetReport:
    return TargetReport(target, state, "c", 10, {"s": SearcherReport(1, held)})


def test_the_newest_version_that_every_shard_serves_is_pinned():
    reports = [report("t0", {1: (0,), 2: (0,)}), report("t1", {1: (1,)})]
    assert pin(build_snapshots("c", reports, DOCUMENTS)).version == 1
    reports[1] = report("t1", {1: (1,), 2: (1,)})
    assert pin(build_snapshots("c", reports, DOCUMENTS)).version == 2


def test_without_a_whole_version_the_one_that_reaches_most_is_pinned():
    reports = [report("t0", {1: (0, 1), 2: (0,)}, TargetState.DOWN), report("t1", {2: (1,)})]
    snapshot = pin(build_snapshots("c", reports, DOCUMENTS))
    assert (snapshot.version, snapshot.reachable_documents, snapshot.whole) == (2, 10, False)


def test_a_draining_target_serves_no_new_query():
    reports = [report("t0", {1: (0, 1)}, TargetState.DRAINING), report("t1", {1: (0,)})]
    replicas = pin(build_snapshots("c", reports, DOCUMENTS)).replicas_by_shard
    assert {one.target_id for ids in replicas.values() for one in ids} == {"t1"}


def test_a_move_goes_only_to_a_newer_version():
    snapshots = build_snapshots("c", [report("t0", {1: (0, 1), 2: (0, 1)})], DOCUMENTS)
    assert pin(snapshots, newer_than=1).version == 2
    assert pin(snapshots, newer_than=2) is None


def test_a_version_whose_shape_is_not_known_yet_is_not_pinned():
    snapshots = build_snapshots("c", [report("t0", {1: (0, 1), 2: (0, 1)})], {1: (10, 10)})
    assert pin(snapshots).version == 1
