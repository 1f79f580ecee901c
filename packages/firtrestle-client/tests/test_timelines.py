from firtrestle_client import timelines
from firtrestle_client.fleets import DaemonAnswer
from firtrestle_client.timelines import TimeLine

PAGE_SIZE = 2


def event(seq: int) -> dict:
    return {
        "seq": seq,
        "at": float(seq),
        "process": "d1",
        "incarnation": 1,
        "kind": "query-answered",
        "request_id": "wanted" if seq == 5 else "other",
        "fields": {},
    }


async def fetch_page(addresses, path):
    """Answer as a daemon with six events, of which pages of two are searched at a time."""
    parameters = dict(part.split("=") for part in path.partition("?")[2].split("&"))
    after = int(parameters["after"])
    page = [event(seq) for seq in range(after + 1, 7)][:PAGE_SIZE]
    wanted = parameters["request_id"]
    shown = [raw for raw in page if not wanted or raw["request_id"] == wanted]
    last = page[-1]["seq"] if page else after
    return [DaemonAnswer(addresses[0], {"last": last, "events": shown})]


# Guards against a request whose events are not on a daemon's first page.
async def test_a_request_is_found_on_any_page(monkeypatch):
    monkeypatch.setattr(timelines, "fetch_json_from_all", fetch_page)
    events = await TimeLine(["127.0.0.1:1"]).read("wanted")
    assert [found.seq for found in events] == [5]


async def test_all_pages_are_read_once(monkeypatch):
    monkeypatch.setattr(timelines, "fetch_json_from_all", fetch_page)
    time_line = TimeLine(["127.0.0.1:1"])
    assert [found.seq for found in await time_line.read()] == [1, 2, 3, 4, 5, 6]
    assert await time_line.read() == []
