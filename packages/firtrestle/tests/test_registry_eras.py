import pytest
from firtrestle.registry_eras import EraSpan, RegistryEras
from hypothesis import given
from hypothesis import strategies as st

ERAS = st.integers(0, 5)


def build(*eras):
    known, restores = RegistryEras(), []
    known.add_listener(lambda: restores.append(known.span))
    for era in eras:
        known.observe(era)
    return known, restores


# Guards against an upgrade or a start being taken for a restore, whatever the first era is.
@pytest.mark.parametrize("era", [0, 1, 3])
def test_the_first_era_is_no_restore(era):
    known, restores = build(era, era)
    known.learn([era, era])
    assert known.span == EraSpan(era, era)
    assert restores == []


def test_a_later_era_is_a_restore_and_an_earlier_one_is_past():
    known, restores = build(1, 3)
    assert restores == [EraSpan(1, 3)]
    assert known.is_past(2)
    assert not known.is_past(3)


# Guards against a daemon that starts after a restore trusting revisions of the era before.
def test_a_daemon_that_starts_after_a_restore_learns_of_it_from_a_peer():
    known, restores = build(2)
    known.learn([1, 2])
    assert restores == [EraSpan(1, 2)]


def test_revisions_are_shared_only_by_daemons_that_know_the_same_eras():
    known, _ = build(2)
    assert known.are_shared_by([2, 2])
    assert not known.are_shared_by([1, 2])
    assert not known.are_shared_by([2, 3])


def test_peers_that_name_no_eras_are_trusted_until_a_restore_is_known():
    known, _ = build()
    assert known.are_shared_by([])
    known.observe(1)
    assert known.are_shared_by([])
    known.observe(2)
    assert not known.are_shared_by([])


@pytest.mark.parametrize("report", [[1], [2, 1], ["1", 2], [True, 2], [-1, 2], {}, None, 7])
def test_malformed_reports_teach_nothing(report):
    known, restores = build(1)
    known.learn(report)
    assert known.span == EraSpan(1, 1)
    assert restores == []


@given(st.permutations([[1, 1], [2, 2], [1, 3], [3, 4]]), st.lists(ERAS, max_size=3))
def test_daemons_agree_in_any_order_of_reports(order, extra):
    known, _ = build()
    for report in [*order, *([era, era] for era in extra)]:
        known.learn(report)
    assert known.to_wire() == [min([1, *extra]), max([4, *extra])]
