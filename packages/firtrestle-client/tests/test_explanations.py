import json

from firtrestle_client.explanations import explain_request


def line(at, message, daemon="d1", **fields):
    return json.dumps({"at": at, "message": message, "daemon": daemon, **fields})


LINES = [
    line("10:00:01", "desired state in force", version=7),
    line("10:00:01", "desired state in force", daemon="d2", version=8),
    line("10:00:05", "refused", request_id="r1", kind="no-target", ran="false"),
    line("10:00:04", "attempt failed", request_id="r1", service="s", outcome="died"),
    line("10:00:04", "attempt failed", request_id="r2", service="s", outcome="died"),
    "  3.1 front-1 " + line("10:00:06", "answered", daemon="d3", request_id="r1"),
    "not a log line",
    '{"broken": ',
    line("10:00:09", "store lost", reason="status 503"),
]


def test_a_requests_lines_are_ordered_and_follow_its_daemons_state_changes():
    log_lines = explain_request(LINES, "r1")
    assert [line.message for line in log_lines] == [
        "desired state in force",
        "attempt failed",
        "refused",
        "answered",
    ]
    assert log_lines[0].details == "version=7"
    assert log_lines[2].details == "kind=no-target, ran=false"


# Guards against a shard that is missing for an evacuation being explained without it.
def test_an_evacuation_is_among_a_daemons_state_changes():
    changes = ["evacuation in force", "evacuation ended"]
    lines = [line("10:00:03", message, zone="z1") for message in changes] + LINES
    messages = [line.message for line in explain_request(lines, "r1")]
    assert messages[1:3] == changes


def test_an_unknown_request_has_no_lines():
    assert explain_request(LINES, "r9") == []
