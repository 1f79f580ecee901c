"""Probe instances while it is in doubt whether this daemon reaches them, and until it does."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from firtrestle.clocks import Clock, Millis, sleep
from firtrestle.fault_probes import FaultProbes
from firtrestle.instances import Instance
from firtrestle.uplinks import MAX_SILENCE, Uplink, UplinkState

CHECK_INTERVAL = Millis(100)
MAX_CHECK_GAP = Millis(300)  # beyond it, this process was paused and may have unread replies
MIN_CONFIRM_INTERVAL = Millis(1_000)  # between such probes, while instances accept connections
MIN_PROBE_INTERVAL = Millis(250)
MAX_PROBE_INTERVAL = Millis(1_000)
PROBE_BACKOFF_FACTOR = 1.5
PROBE_JITTER = (0.75, 1.25)  # spreads the return of many daemons
MAX_TRIAL_SILENCE = Millis(1_000)

# Lists those with a call that was sent since a time and is unanswered for a duration.
ListSilent = Callable[[Millis, Millis], list[Instance]]


class UplinkMonitor:
    """Check the links periodically, and probe instances while they are in doubt."""

    def __init__(
        self,
        uplink: Uplink,
        probes: FaultProbes,
        list_silent: ListSilent,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._uplink = uplink
        self._probes = probes
        self._list_silent = list_silent
        self._clock = clock
        self._rng = rng
        self._probe_interval = MIN_PROBE_INTERVAL
        self._next_probe_at = Millis(0)
        self._losses_probed = 0
        self._peer_lost_links = False
        self._confirmed_at = Millis(-math.inf)
        self._trial_since = Millis(0)

    async def run(self) -> None:
        """Check and probe until cancelled."""
        checked_at = self._clock.now()
        while True:
            await sleep(CHECK_INTERVAL)
            now = self._clock.now()
            if now - checked_at > MAX_CHECK_GAP:
                self._uplink.record_pause()
            await self._check(now)
            checked_at = self._clock.now()

    def record_loss_of_peer(self) -> None:
        """Probe instances soon unless one is heard: the cause of a peer's loss may be shared.

        A daemon with few requests would otherwise notice late, and fail those of peers.
        """
        self._peer_lost_links = True

    async def _check(self, now: Millis) -> None:
        uplink = self._uplink
        if uplink.state is UplinkState.UP and uplink.silence() < MAX_SILENCE:
            self._peer_lost_links = False
        elif uplink.state is not UplinkState.DOWN:
            is_trial = uplink.state is UplinkState.TRIAL
            silent = (
                self._list_silent(self._trial_since, MAX_TRIAL_SILENCE)
                if is_trial
                else self._list_silent(Millis(0), MAX_SILENCE)
            )
            uplink.check(silent)
        is_loss_shared = uplink.state is UplinkState.UP and self._peer_lost_links
        if uplink.is_in_doubt or is_loss_shared:
            await self._confirm(now)
        is_lost = uplink.state is UplinkState.DOWN or not uplink.opens
        if is_lost and now >= self._next_probe_at:
            await self._probe_for_return(now)

    async def _confirm(self, now: Millis) -> None:
        """Probe some instances: none accepts a connection if the links are lost."""
        if now - self._confirmed_at < MIN_CONFIRM_INTERVAL:
            return
        self._confirmed_at = now
        self._peer_lost_links = False
        await self._probes.probe()

    async def _probe_for_return(self, now: Millis) -> None:
        losses = self._uplink.losses + self._uplink.opening_losses
        if self._losses_probed != losses:
            self._losses_probed = losses
            self._probe_interval = MIN_PROBE_INTERVAL
        else:
            longer = self._probe_interval * PROBE_BACKOFF_FACTOR
            self._probe_interval = Millis(min(MAX_PROBE_INTERVAL, longer))
        interval = self._probe_interval * self._rng.uniform(*PROBE_JITTER)
        self._next_probe_at = Millis(now + interval)
        if await self._probes.reaches_one():
            self._trial_since = self._clock.now()
            self._uplink.record_probes(True)
