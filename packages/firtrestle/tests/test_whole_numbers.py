import pytest
from firtrestle.whole_numbers import parse_whole


def test_ascii_digits_are_a_number():
    assert parse_whole("0") == 0
    assert parse_whole("007") == 7
    assert parse_whole("999999999999999") == 999_999_999_999_999


# Guards against int(), which accepts all of these or raises on more than 4,300 digits.
@pytest.mark.parametrize(
    "text", ["", "+1", "-1", " 1", "1 ", "1_0", "\u0661", "\u00b2", "1.0", "1e3", "9" * 5_000]
)
def test_any_other_text_is_no_number(text):
    assert parse_whole(text) is None


def test_a_number_above_the_bound_is_refused():
    assert parse_whole("65535", most=65_535) == 65_535
    assert parse_whole("65536", most=65_535) is None
