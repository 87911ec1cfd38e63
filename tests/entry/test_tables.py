"""Tests of an entry host's tables: no older revision and no gap is applied."""

from __future__ import annotations

from dragonflyrock.entry.tables import EntryTables
from dragonflyrock.models import Contract, ContractRow, Delta
from dragonflyrock.transport.messages import HostUpdate

LEASE_SECONDS = 1.5


def make_row(version: int, revision: int) -> ContractRow:
    """Return a row of the contract of "clerks" at a version."""
    contract = Contract("clerks", ("t",), ("finder",), 10, 10, 10, 100, 1000)
    return ContractRow(contract, version, "operator", revision)


def make_update(
    base: int, revision: int, version: int, *, full: bool = False
) -> HostUpdate:
    """Return an update of that contract, with a lease."""
    rows = (make_row(version, revision),)
    delta = Delta(base, revision, full, contracts=rows)
    return HostUpdate(1, "leader", 10.0, 1500, delta, 1, ("a",))


# Guards against a lease that is counted from the arrival of the update, and so ends
# later than the leader assumes.
def test_an_update_sets_rows_and_a_lease_that_starts_at_the_renewal() -> None:
    tables = EntryTables()
    assert tables.apply(make_update(0, 5, 1, full=True), LEASE_SECONDS, 11.0)
    assert tables.contracts["clerks"].version == 1
    assert tables.lease_until == 10.0 + LEASE_SECONDS
    row = tables.find_contract("t")
    assert row is not None and row.contract.customer == "clerks"


# Guards against rows that lack the changes of a lost update.
def test_an_update_with_a_gap_and_its_lease_are_ignored() -> None:
    tables = EntryTables()
    assert not tables.apply(make_update(3, 5, 2), LEASE_SECONDS, 11.0)
    assert not tables.contracts
    assert tables.lease_until < 10.0


# Guards against an overtaken update that replaces newer rows.
def test_a_late_update_does_not_restore_an_older_version() -> None:
    tables = EntryTables()
    tables.apply(make_update(0, 9, 3, full=True), LEASE_SECONDS, 11.0)
    for late in (make_update(0, 5, 2, full=True), make_update(4, 5, 2)):
        assert not tables.apply(late, LEASE_SECONDS, 11.0)
        assert tables.contracts["clerks"].version == 3
        assert tables.revision == 9
