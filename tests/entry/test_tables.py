"""An entry host's rows never go back and never have a gap."""

from __future__ import annotations

from dragonflyrock.entry.tables import EntryTables
from dragonflyrock.models import Contract, ContractRow, Delta
from dragonflyrock.transport.messages import HostUpdate

LEASE = 1.5


def make_row(version: int, revision: int) -> ContractRow:
    """Return a contract at a version."""
    contract = Contract("clerks", ("t",), ("finder",), 10, 10, 10, 100, 1000)
    return ContractRow(contract, version, "operator", revision)


def make_update(
    base: int, revision: int, version: int, *, full: bool = False
) -> HostUpdate:
    """Return an update with a lease."""
    rows = (make_row(version, revision),)
    delta = Delta(base, revision, full, contracts=rows)
    return HostUpdate(1, "leader", 10.0, 1500, delta, 1, ("a",))


def test_an_update_brings_rows_and_a_lease_from_when_it_was_asked_for() -> None:
    tables = EntryTables()
    assert tables.apply(make_update(0, 5, 1, full=True), LEASE, 11.0)
    assert tables.contracts["clerks"].version == 1
    assert tables.lease_until == 10.0 + LEASE
    found = tables.find_customer("t")
    assert found is not None and found.contract.customer == "clerks"


def test_an_update_with_a_gap_is_ignored_and_its_lease_too() -> None:
    tables = EntryTables()
    assert not tables.apply(make_update(3, 5, 2), LEASE, 11.0)
    assert not tables.contracts
    assert tables.lease_until < 10.0


def test_a_late_update_never_brings_an_older_version_back() -> None:
    tables = EntryTables()
    tables.apply(make_update(0, 9, 3, full=True), LEASE, 11.0)
    for late in (make_update(0, 5, 2, full=True), make_update(4, 5, 2)):
        assert not tables.apply(late, LEASE, 11.0)
        assert tables.contracts["clerks"].version == 3
        assert tables.revision == 9
