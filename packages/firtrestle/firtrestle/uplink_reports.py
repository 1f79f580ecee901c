"""Tell other daemons whether this one reaches the instances, and know which of them do."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from firtrestle.clocks import Clock
from firtrestle.gossip_maps import GossipMap, Item
from firtrestle.members import Member, Members, MemberStatus
from firtrestle.uplinks import Uplink

UPLINK_PREFIX = "uplink/"


class UplinkReports:
    """Publish whether this daemon reaches instances, as one gossip item of each daemon.

    A report holds for one incarnation. A daemon without one, such as one of an earlier build, is
    never asked to run another's requests.
    """

    def __init__(
        self,
        items: GossipMap,
        members: Members,
        uplink: Uplink,
        clock: Clock,
        on_loss: Callable[[], None] = lambda: None,
    ) -> None:
        self._items = items
        self._members = members
        self._uplink = uplink
        self._clock = clock
        self._on_loss = on_loss
        items.add_validator(UPLINK_PREFIX, _is_report)
        items.add_listener(UPLINK_PREFIX, self._on_item)

    def publish(self) -> None:
        """Publish this daemon's report if it has changed."""
        value = [self._members.me.incarnation, self._uplink.is_settled]
        key = UPLINK_PREFIX + self._members.me.id
        known = self._items.by_key.get(key)
        if known is None or known.value != value:
            stamp = round(self._clock.wall())
            self._items.put(key, stamp if known is None else max(stamp, known.stamp + 1), value)

    def reaching_peers(self) -> list[Member]:
        """Return the live peers that report to reach the instances."""
        return [member for member in self._members.live_peers() if self._reaches(member)]

    def _on_item(self, key: str, item: Item) -> None:
        _, reaches = item.value
        if not reaches and key != UPLINK_PREFIX + self._members.me.id:
            self._on_loss()

    def _reaches(self, member: Member) -> bool:
        item = self._items.by_key.get(UPLINK_PREFIX + member.id)
        return (
            member.status is MemberStatus.ALIVE
            and item is not None
            and item.value == [member.incarnation, True]
        )


def _is_report(key: str, stamp: int, value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 2
        and isinstance(value[0], int)
        and isinstance(value[1], bool)
    )
