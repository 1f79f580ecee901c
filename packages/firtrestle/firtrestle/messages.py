"""Define the messages between daemons and their msgpack form."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any, TypeVar

import msgpack

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8_000_000
READ_BYTES = 16_384  # initial buffer of each stream; grows with the received data

Message = TypeVar("Message")
message_by_tag: dict[str, type] = {}
_field_names_by_class: dict[type, tuple[str, ...]] = {}


class BadFrame(ValueError):
    """Raised on bytes from a peer that are no message of this protocol."""


def message(tag: str):
    """Register a message class under its tag."""

    def register(cls: type[Message]) -> type[Message]:
        cls.tag = tag
        message_by_tag[tag] = cls
        return cls

    return register


@message("ping")
@dataclass(slots=True)
class Ping:
    """Check whether a peer is alive, and send a digest of the sender's state.

    `eras` holds, here and in other messages, the first and the newest era of the registry that
    the sender knows. It is empty if the sender knows none or is of an earlier build.
    """

    sender: str
    digest: list[int] = field(default_factory=list)
    eras: list[int] = field(default_factory=list)


@message("are-you-there")
@dataclass(slots=True)
class AreYouThere:
    """Ask for any answer, as a handshake or a keep-alive of a silent stream."""


@message("ping-for")
@dataclass(slots=True)
class PingFor:
    """Ask a peer to ping another daemon on behalf of the sender."""

    sender: str
    daemon_id: str


@message("pong")
@dataclass(slots=True)
class Pong:
    """Answer a ping with the stamps of the buckets that differ.

    `parts` holds, by part of a registry, the revision up to which the sender knows all changes and
    the age of that knowledge in ms. `progress` is the same for earlier builds, by the parts that
    they know; they count any other name as one more part, which would age.
    """

    alive: bool = True
    stamps: dict[str, int] = field(default_factory=dict)
    buckets: list[int] = field(default_factory=list)
    progress: dict[str, list[float]] = field(default_factory=dict)
    parts: dict[str, list[float]] = field(default_factory=dict)
    eras: list[int] = field(default_factory=list)


@message("pull")
@dataclass(slots=True)
class Pull:
    """Request items by key, send items that the peer lacks, and announce large ones.

    `slow` and `failing` hold reports on instances, which are not kept as items.
    """

    keys: list[str] = field(default_factory=list)
    items: list[list[Any]] = field(default_factory=list)
    announced: dict[str, int] = field(default_factory=dict)
    slow: list[list[Any]] = field(default_factory=list)
    eras: list[int] = field(default_factory=list)
    failing: list[list[Any]] = field(default_factory=list)


@message("items")
@dataclass(slots=True)
class Items:
    """Return the requested items as [key, stamp, value], and the announced keys to send."""

    items: list[list[Any]] = field(default_factory=list)
    wanted: list[str] = field(default_factory=list)
    eras: list[int] = field(default_factory=list)


@message("join")
@dataclass(slots=True)
class Join:
    """Announce a daemon before it votes on keys."""

    daemon_id: str
    incarnation: int
    data_centre: str
    host: str
    port: int
    peer_port: int


@message("done")
@dataclass(slots=True)
class Done:
    """Answer a call that has no result; if not `ok`, with the reason."""

    ok: bool = True
    reason: str = ""


@message("claim")
@dataclass(slots=True)
class Claim:
    """Ask for a vote to grant a new key to an owner."""

    key: str
    owner: str
    fingerprint: str


@message("vote")
@dataclass(slots=True)
class Vote:
    """Answer a claim: granted, abstained, or held by another; or answer AskKey with a state."""

    granted: bool = False
    quorum: int = 1
    owner: str = ""
    fingerprint: str = ""
    state: str = ""
    outcome: dict[str, Any] = field(default_factory=dict)
    reason: str = ""


@message("settle")
@dataclass(slots=True)
class Settle:
    """Report the state in which a claim ended to the key's voters."""

    key: str
    owner: str
    state: str
    outcome: dict[str, Any] = field(default_factory=dict)


@message("ask-key")
@dataclass(slots=True)
class AskKey:
    """Ask the daemon that made a claim for the claim's state."""

    key: str
    owner: str


@message("borrow")
@dataclass(slots=True)
class Borrow:
    """Ask to borrow a part of an entry's limits, from 0 to 1."""

    entry: str
    part: float
    borrower: str


@message("loan")
@dataclass(slots=True)
class Loan:
    """Lend a part of an entry's limits, 0 for none."""

    part: float


@message("ask-leases")
@dataclass(slots=True)
class AskLeases:
    """Ask a daemon for leases on the lots that it owns of the listed targets."""

    holder: str
    number: int
    targets: list[str] = field(default_factory=list)


@message("leases")
@dataclass(slots=True)
class Leases:
    """Grant leases on lots of targets, for a duration that both sides know."""

    lots_by_target: dict[str, list[int]] = field(default_factory=dict)


@message("return-leases")
@dataclass(slots=True)
class ReturnLeases:
    """Return the leases granted for all requests up to `number`."""

    holder: str
    number: int
    targets: list[str] = field(default_factory=list)


@message("sub-request")
@dataclass(slots=True)
class SubRequest:
    """Ask a holder to run one part of a query on a searcher."""

    request_id: str
    attempt: int
    target_id: str
    searcher: str
    collection: str
    version: int
    shard: int
    kind: str
    query: dict[str, Any]
    budget_ms: float
    urgent: bool = False
    key: str = ""
    fingerprint: str = ""
    suspect: bool = False


@message("sub-reply")
@dataclass(slots=True)
class SubReply:
    """Answer a sub-request with rows, or with the reason why there are none."""

    outcome: str
    request_id: str = ""
    attempt: int = 0
    collection: str = ""
    version: int = 0
    shard: int = 0
    rows: list[Any] = field(default_factory=list)
    documents: int = 0
    truncated: bool = False
    sent: bool = False
    reason: str = ""
    queue: int = 0
    retry_after_ms: float = 0.0


@message("relay")
@dataclass(slots=True)
class Relay:
    """Ask a peer to run a caller's request for some of its services, all on one hop.

    `tried` counts, by service, attempts that may have run. `merge` is empty if one
    service's reply is wanted unchanged, else the number and the size of the records to keep.
    `others` is the number of the gather's services that other daemons run at the same time.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: list[list[str]]
    body: bytes
    route: str
    repeatable: bool
    max_attempts: int
    least_coverage: float
    target_ms: float
    age_ms: float
    left_ms: float
    services: list[str]
    merge: list[int] = field(default_factory=list)
    tried: dict[str, int] = field(default_factory=dict)
    is_counted: bool = False
    others: int = 0
    priority: int = 0  # an earlier build names none


@message("relayed")
@dataclass(slots=True)
class Relayed:
    """Answer a relay; with a `refusal`, nothing was sent to an instance.

    `replies` holds [service, status, stamp, headers, body], and `failure` the last four of an
    instance's own failure.
    """

    refusal: str = ""
    replies: list[list[Any]] = field(default_factory=list)
    reasons: dict[str, str] = field(default_factory=dict)
    failure: list[Any] = field(default_factory=list)
    sent: int = 0
    hedges: int = 0
    may_have_run: bool = False


@message("cancel")
@dataclass(slots=True)
class Cancel:
    """Stop a call that the sender no longer waits for."""

    call_id: int


def encode(call_id: int, value: Any) -> bytes:
    """Encode a message as a frame with the id of its call."""
    body = {name: getattr(value, name) for name in _field_names(type(value))}
    return msgpack.packb({"v": PROTOCOL_VERSION, "c": call_id, "t": value.tag, "b": body})


def decode(raw: Any) -> tuple[int, Any]:
    """Return the call id and message of an unpacked frame.

    Ignore unknown fields, which newer daemons may send; raise BadFrame on an invalid frame.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("b"), dict):
        raise BadFrame("a frame must be a map with a body")
    if raw.get("v") != PROTOCOL_VERSION:
        raise BadFrame(f"protocol version {raw.get('v')!r} is not {PROTOCOL_VERSION}")
    tag = raw.get("t")
    cls = message_by_tag.get(tag) if isinstance(tag, str) else None
    if cls is None or not isinstance(raw.get("c"), int):
        raise BadFrame(f"unknown message {tag!r}")
    body = raw["b"]
    try:
        return raw["c"], cls(**{name: body[name] for name in _field_names(cls) if name in body})
    except TypeError as error:
        raise BadFrame(f"bad {raw['t']}: {error}") from error


def _field_names(cls: type) -> tuple[str, ...]:
    names = _field_names_by_class.get(cls)
    if names is None:
        names = tuple(attribute.name for attribute in fields(cls))
        _field_names_by_class[cls] = names
    return names


def new_unpacker() -> msgpack.Unpacker:
    """Build an unpacker that buffers at most MAX_FRAME_BYTES."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_FRAME_BYTES, read_size=READ_BYTES, strict_map_key=True, raw=False
    )
