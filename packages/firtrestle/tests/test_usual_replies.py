from firtrestle.clocks import Millis
from firtrestle.usual_replies import MAX_AGE, MIN_REPLIES, UsualReplies
from manual_clocks import ManualClock


def test_the_usual_time_is_that_of_the_slower_replies_of_most_requests():
    usual = UsualReplies(ManualClock())
    for slower in (40, 50, 60, 2_000, 45):
        usual.learn("r", [Millis(10)] * 30 + [Millis(slower)] * 6)
    assert usual.usual("r") == 50
    assert usual.usual("other") is None


# Guards against judging instances by very few replies.
def test_the_usual_time_is_unknown_until_enough_replies_came():
    usual = UsualReplies(ManualClock())
    usual.learn("r", [Millis(10)] * (MIN_REPLIES - 1))
    usual.learn("r", [])
    assert usual.usual("r") is None
    usual.learn("r", [Millis(10)])
    assert usual.usual("r") == 10


def test_old_replies_are_not_used():
    clock = ManualClock()
    usual = UsualReplies(clock)
    usual.learn("r", [Millis(10)] * MIN_REPLIES)
    clock.at += MAX_AGE + 1
    assert usual.usual("r") is None
