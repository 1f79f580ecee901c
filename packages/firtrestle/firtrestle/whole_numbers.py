"""Parse whole numbers in text from outside."""

from __future__ import annotations

MAX_DIGITS = 15  # exact as a float, and far below the length at which int() raises


def parse_whole(text: str, most: int = 10**MAX_DIGITS - 1) -> int | None:
    """Return the number that ASCII digits alone spell, or None if it is none or exceeds `most`."""
    if not 0 < len(text) <= MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return number if number <= most else None
