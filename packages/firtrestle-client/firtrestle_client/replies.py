"""Print the daemons' replies to queries."""

from __future__ import annotations

from typing import Any

from firtrestle_client.tables import print_json, print_table

MAX_ROWS_SHOWN = 20


def print_answer(document: dict[str, Any]) -> None:
    """Print the rows of an answer and what it covers."""
    if "snapshot" not in document:
        print_json(document)
        return
    coverage, snapshot = document["coverage"], document["snapshot"]
    rows = document["rows"]
    columns = sorted({name for row in rows for name in row})
    print_table(columns, [[row.get(name) for name in columns] for row in rows[:MAX_ROWS_SHOWN]])
    if len(rows) > MAX_ROWS_SHOWN:
        print(f"and {len(rows) - MAX_ROWS_SHOWN} more rows")
    print(f"snapshot {snapshot['version']} of {snapshot['collection']}")
    print(
        f"coverage {coverage['fraction']:.4%}: "
        f"{coverage['covered']} of {coverage['total']} documents"
    )
    for part in coverage["missing"]:
        print(f"  shard {part['shard']}: {part['documents']} documents missing, {part['reason']}")


def print_refusal(document: dict[str, Any] | None) -> None:
    """Print why a query was refused, and when to send it again."""
    if not isinstance(document, dict):
        print("refused; the reply is not a JSON object")
        return
    print(f"refused: {document.get('title')} ({document.get('kind')}), ran: {document.get('ran')}")
    if document.get("detail"):
        print(f"  {document['detail']}")
    if document.get("retry_after_ms") is not None:
        print(f"  retry after {document['retry_after_ms']} ms")
