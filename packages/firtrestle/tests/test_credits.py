from firtrestle.credits import CreditLedger, merged_credits
from firtrestle.spreads import SpreadMap


def counted(items: SpreadMap) -> dict[tuple[str, str], int]:
    return {(row["entry"], row["kind"]): row["answered"] for row in merged_credits(items)}


def test_answers_are_counted_once_over_daemons_and_incarnations():
    items = SpreadMap()
    for process, answers in (("d1/1", 3), ("d1/2", 4), ("d2/1", 5)):
        ledger = CreditLedger()
        for _ in range(answers):
            ledger.count("desk", "owner", "search")
        ledger.spread(items, process)
        ledger.spread(items, process)
    assert counted(items) == {("desk", "search"): 12}


def test_an_older_count_that_arrives_late_takes_nothing_back():
    ledger, here, late = CreditLedger(), SpreadMap(), SpreadMap()
    ledger.count("desk", "owner", "search")
    ledger.spread(late, "d1/1")
    ledger.count("desk", "owner", "search")
    ledger.spread(here, "d1/1")
    here.put_rows(late.rows(["credit/d1/1"]))
    assert counted(here) == {("desk", "search"): 2}


def test_kinds_are_counted_apart():
    ledger, items = CreditLedger(), SpreadMap()
    ledger.count("fees", "owner", "submit")
    ledger.count("desk", "owner", "search")
    ledger.spread(items, "d1/1")
    assert counted(items) == {("fees", "submit"): 1, ("desk", "search"): 1}
