"""Count answered queries by entry, owner and kind for the credit ledger."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from firtrestle import signals
from firtrestle.credits import CreditLedger

if TYPE_CHECKING:
    from firtrestle.kernels import Kernel


def _count(ledger: CreditLedger) -> Callable[..., None]:
    def on_answer(entry_name: str, query: Any, **_: Any) -> None:
        ledger.count(entry_name, query.entry.owner, str(query.entry.kind))

    return on_answer


def register(kernel: Kernel) -> None:
    """Count each answered query in the kernel's ledger."""
    on_answer = _count(kernel.ledger)
    kernel.hooks.append(on_answer)  # keeps a reference, as signals hold receivers weakly
    signals.query_answered.connect(on_answer)
