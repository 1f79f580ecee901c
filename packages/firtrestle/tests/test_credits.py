from firtrestle.credits import CreditLedger, merged_credits
from firtrestle.gossip_maps import GossipMap


def answered_by_entry_and_kind(items: GossipMap) -> dict[tuple[str, str], int]:
    return {(row["entry"], row["kind"]): row["answered"] for row in merged_credits(items)}


def test_answers_are_added_up_over_daemons_and_incarnations():
    items = GossipMap()
    for process, answers in (("d1/1", 3), ("d1/2", 4), ("d2/1", 5)):
        ledger = CreditLedger()
        for _ in range(answers):
            ledger.count("desk", "owner", "search")
        ledger.publish(items, process)
        ledger.publish(items, process)
    assert answered_by_entry_and_kind(items) == {("desk", "search"): 12}


def test_late_older_count_does_not_reduce_the_total():
    ledger, here, late = CreditLedger(), GossipMap(), GossipMap()
    ledger.count("desk", "owner", "search")
    ledger.publish(late, "d1/1")
    ledger.count("desk", "owner", "search")
    ledger.publish(here, "d1/1")
    here.put_rows(late.rows(["credit/d1/1"]))
    assert answered_by_entry_and_kind(here) == {("desk", "search"): 2}


def test_kinds_are_counted_separately():
    ledger, items = CreditLedger(), GossipMap()
    ledger.count("fees", "owner", "submit")
    ledger.count("desk", "owner", "search")
    ledger.publish(items, "d1/1")
    assert answered_by_entry_and_kind(items) == {("fees", "submit"): 1, ("desk", "search"): 1}
