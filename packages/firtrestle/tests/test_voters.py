from firtrestle.clocks import Clock, Millis
from firtrestle.messages import Join
from firtrestle.peers import PeerAddress
from firtrestle.settings import ClaimSettings
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState
from firtrestle.voters import Voters

SETTINGS = ClaimSettings(window_ms=10_000, clock_skew_ms=100)


class ManualClock(Clock):
    def __init__(self) -> None:
        self.at = 1_000_000.0

    def wall(self) -> Millis:
        return Millis(self.at)


def listed(*names: str) -> VmList:
    return VmList(1, {n: Vm(n, VmKind.DAEMON, "dc", n, 1, 1, VmState.LIVE, "") for n in names})


def new_voters(clock: Clock, *names: str) -> Voters:
    voters = Voters("d0", PeerAddress("d0", 1), SETTINGS, clock)
    voters.apply_vm_list(listed("d0", *names))
    return voters


def test_daemon_votes_only_on_keys_issued_after_it_was_established():
    clock = ManualClock()
    voters = new_voters(clock)
    assert not voters.eligibility("k", Millis(clock.at + 1_000)).may_vote
    voters.establish()
    assert not voters.eligibility("k", Millis(clock.at + 50)).may_vote
    assert voters.eligibility("k", Millis(clock.at + 200)).may_vote


def test_shrunken_group_keeps_the_quorum_of_the_larger_one():
    clock = ManualClock()
    voters = new_voters(clock, "d1", "d2")
    voters.establish()
    issued_at = Millis(clock.at + 500)
    clock.at += 1_000
    voters.apply_vm_list(listed("d0"))
    assert voters.eligibility("k", issued_at).quorum == 2
    clock.at += 1_000
    assert voters.eligibility("k", Millis(clock.at + 500)).quorum == 1


def test_announced_daemon_is_kept_until_the_platform_had_time_to_list_it():
    clock = ManualClock()
    voters = new_voters(clock)
    voters.add(Join("d9", 1, "dc", "d9", 1, 1))
    voters.apply_vm_list(listed("d0"))
    assert "d9" in voters.group("k")
    clock.at += SETTINGS.window_ms + 1
    voters.apply_vm_list(listed("d0"))
    assert "d9" not in voters.group("k")
