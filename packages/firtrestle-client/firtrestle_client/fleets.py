"""Reach the daemons of a fleet, starting from one or more of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio
from firtrestle.clocks import Millis
from firtrestle.http_clients import HttpFailure, HttpReply, fetch

TIMEOUT = Millis(3_000)


@dataclass(frozen=True, slots=True)
class DaemonAnswer:
    """Hold what one daemon answered, or why it did not."""

    address: str
    value: Any = None
    failure: str = ""


async def get(address: str, path: str) -> DaemonAnswer:
    """Fetch a JSON document from one daemon."""
    try:
        reply = await fetch(address, "GET", path, TIMEOUT)
    except ValueError:
        return DaemonAnswer(address, failure="is not IP:port")
    if isinstance(reply, HttpFailure):
        return DaemonAnswer(address, failure=reply.reason)
    return _read(address, reply)


async def get_all(addresses: list[str], path: str) -> list[DaemonAnswer]:
    """Fetch the same document from each daemon, in the order given."""
    answer_by_address: dict[str, DaemonAnswer] = {}

    async def ask(address: str) -> None:
        answer_by_address[address] = await get(address, path)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask, address)
    return [answer_by_address[address] for address in addresses]


async def find_daemons(seeds: list[str]) -> list[str]:
    """Return the addresses of all live daemons that the seeds know, the seeds included."""
    found = dict.fromkeys(seeds)
    for answer in await get_all(seeds, "/-/status"):
        if answer.value is None:
            continue
        for member in answer.value["members"]:
            if member["status"] in ("alive", "suspect"):
                found.setdefault(member["address"])
    return list(found)


def _read(address: str, reply: HttpReply) -> DaemonAnswer:
    value = reply.json()
    if reply.status != 200 or value is None:
        return DaemonAnswer(address, failure=f"answered with status {reply.status}")
    return DaemonAnswer(address, value)
