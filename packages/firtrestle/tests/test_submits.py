from types import SimpleNamespace

import pytest
from fakes import entry
from firtrestle.claims import Claimed, KeyState
from firtrestle.clocks import Clock, Millis
from firtrestle.queries import Query
from firtrestle.snapshots import Snapshot
from firtrestle.submits import Submits


class RecordingClaims:
    def __init__(self) -> None:
        self.settled: list[KeyState] = []

    async def claim(self, key: str, fingerprint: str, deadline: Millis) -> Claimed:
        return Claimed(key, "d1#1")

    async def settle(self, claimed: Claimed, state: KeyState, outcome: dict) -> None:
        self.settled.append(state)


# Guards against claims that an exception leaves open, which keeps all later records alive.
async def test_an_exception_while_a_request_runs_settles_its_claim_as_unknown():
    def fail(replicas):
        raise RuntimeError("the chooser failed")

    tools = SimpleNamespace(
        events=SimpleNamespace(add=lambda *args, **fields: None),
        chooser=SimpleNamespace(choose=fail),
        clock=Clock(),
    )
    claims = RecordingClaims()
    query = Query("r", entry(), {}, False, Millis(1e12), "key", "f", "shape")
    with pytest.raises(RuntimeError):
        await Submits(tools, claims).run(query, Snapshot("c", 1, (1,), {0: ()}))
    assert claims.settled == [KeyState.UNKNOWN]
