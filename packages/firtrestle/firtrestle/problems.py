"""Encode refusals as problem documents (RFC 9457)."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from firtrestle.clocks import MILLIS_PER_SECOND
from firtrestle.errors import ANSWER_BY_KIND, PROBLEM_TYPE_PREFIX, Refused

if TYPE_CHECKING:
    from firtrestle.http_servers import HttpResponse


def problem_response(refused: Refused, request_id: str, status: int | None = None) -> HttpResponse:
    """Build the response to a refused request, with Retry-After if a retry may succeed."""
    from firtrestle.http_servers import HttpResponse

    rule = ANSWER_BY_KIND[refused.kind]
    status = status or rule.status
    document = {
        "type": PROBLEM_TYPE_PREFIX + refused.kind,
        "title": rule.title,
        "status": status,
        "detail": refused.detail,
        "instance": request_id,
        "kind": refused.kind,
        "ran": _ran_value(refused),
    }
    headers = {}
    retry_after = refused.retry_after if refused.retry_after is not None else rule.retry_after
    if retry_after is not None:
        document["retry_after_ms"] = round(retry_after)
        headers["Retry-After"] = str(max(1, math.ceil(retry_after / MILLIS_PER_SECOND)))
    if request_id:
        headers["X-Request-Id"] = request_id
    body = json.dumps(document).encode()
    return HttpResponse(status, body, "application/problem+json", headers)


def _ran_value(refused: Refused) -> bool | str:
    return {"true": True, "false": False}.get(refused.ran, "unknown")
