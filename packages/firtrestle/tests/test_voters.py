from firtrestle.clocks import Clock, Millis
from firtrestle.messages import Join
from firtrestle.peers import PeerAddress
from firtrestle.settings import ClaimSettings
from firtrestle.vm_lists import Vm, VmKind, VmList, VmState
from firtrestle.voters import Voters

SETTINGS = ClaimSettings(window_ms=10_000, clock_skew_ms=100)


class HandClock(Clock):
    def __init__(self) -> None:
        self.at = 1_000_000.0

    def wall(self) -> Millis:
        return Millis(self.at)


def listed(*names: str) -> VmList:
    return VmList(1, {n: Vm(n, VmKind.DAEMON, "dc", n, 1, 1, VmState.LIVE, "") for n in names})


def voters(clock: Clock, *names: str) -> Voters:
    made = Voters("d0", PeerAddress("d0", 1), SETTINGS, clock)
    made.apply_list(listed("d0", *names))
    return made


def test_a_daemon_votes_only_on_keys_made_after_it_was_established():
    clock = HandClock()
    made = voters(clock)
    assert not made.eligibility("k", Millis(clock.at + 1_000)).may_vote
    made.establish()
    assert not made.eligibility("k", Millis(clock.at + 50)).may_vote
    assert made.eligibility("k", Millis(clock.at + 200)).may_vote


def test_a_shrunken_group_still_needs_the_votes_of_the_larger_one():
    clock = HandClock()
    made = voters(clock, "d1", "d2")
    made.establish()
    issued_at = Millis(clock.at + 500)
    clock.at += 1_000
    made.apply_list(listed("d0"))
    assert made.eligibility("k", issued_at).quorum == 2
    clock.at += 1_000
    assert made.eligibility("k", Millis(clock.at + 500)).quorum == 1


def test_a_daemon_that_announced_itself_is_kept_until_the_list_has_had_time_to_name_it():
    clock = HandClock()
    made = voters(clock)
    made.add(Join("d9", 1, "dc", "d9", 1, 1))
    made.apply_list(listed("d0"))
    assert "d9" in made.group("k")
    clock.at += SETTINGS.window_ms + 1
    made.apply_list(listed("d0"))
    assert "d9" not in made.group("k")
