from firtrestle.errors import ANSWER_BY_KIND, ErrorKind, Ran, Refused
from firtrestle.problems import problem_response


def test_each_kind_has_a_response():
    assert set(ANSWER_BY_KIND) == set(ErrorKind)


def test_retryable_refusal_has_a_retry_after_header():
    for kind, rule in ANSWER_BY_KIND.items():
        response = problem_response(Refused.not_run(kind), "r1")
        assert response.status == rule.status
        assert ("Retry-After" in response.headers) == (rule.retry_after is not None)
        if rule.status in (429, 503):
            assert "Retry-After" in response.headers


def test_ran_is_encoded_as_a_boolean_or_unknown():
    assert b'"ran": false' in problem_response(Refused.not_run(ErrorKind.OVERLOADED), "").body
    unknown = Refused(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert b'"ran": "unknown"' in problem_response(unknown, "").body
