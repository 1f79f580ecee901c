"""Print results as tables or JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table

PIPE_WIDTH_COLUMNS = 200  # used when the output is not a terminal


def print_json(value: Any) -> None:
    """Print a value as an indented JSON document."""
    print(json.dumps(value, indent=2))


def print_table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under column headings; None is shown as an empty cell."""
    table = Table(*columns, box=box.SIMPLE_HEAD, pad_edge=False)
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console = Console()
    if not console.is_terminal:
        console = Console(width=PIPE_WIDTH_COLUMNS)
    console.print(table)
