"""Find the daemons of a fleet from one or more seed addresses and query them over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpFailure, HttpReply, fetch

FETCH_TIMEOUT = Millis(3_000)


@dataclass(frozen=True, slots=True)
class DaemonAnswer:
    """Represent one daemon's JSON answer (`value`), or the reason for its failure."""

    address: str
    value: Any = None
    failure: str = ""


async def fetch_json(address: str, path: str) -> DaemonAnswer:
    """Fetch a JSON document from one daemon; failures are returned, not raised."""
    try:
        reply = await fetch(address, "GET", path, FETCH_TIMEOUT)
    except ValueError:
        return DaemonAnswer(address, failure="is not IP:port")
    if isinstance(reply, HttpFailure):
        return DaemonAnswer(address, failure=reply.reason)
    return _parse_reply(address, reply)


async def fetch_json_from_all(addresses: list[str], path: str) -> list[DaemonAnswer]:
    """Fetch the same document from all daemons concurrently; the answers keep their order."""
    answer_by_address: dict[str, DaemonAnswer] = {}

    async def fetch_from(address: str) -> None:
        answer_by_address[address] = await fetch_json(address, path)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(fetch_from, address)
    return [answer_by_address[address] for address in addresses]


async def find_daemons(seeds: list[str]) -> list[str]:
    """Return the seeds and all alive or suspect members that they report."""
    found = dict.fromkeys(seeds)
    for answer in await fetch_json_from_all(seeds, "/-/status"):
        if answer.value is None:
            continue
        for member in answer.value["members"]:
            if member["status"] in ("alive", "suspect"):
                found.setdefault(member["address"])
    return list(found)


def _parse_reply(address: str, reply: HttpReply) -> DaemonAnswer:
    value = reply.json()
    if reply.status != 200 or value is None:
        return DaemonAnswer(address, failure=f"answered with status {reply.status}")
    return DaemonAnswer(address, value)
