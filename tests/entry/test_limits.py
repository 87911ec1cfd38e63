"""Grants of a customer's limits that arrive after their host has started again."""

from __future__ import annotations

from typing import cast

import pytest

from dragonflyrock.entry.admission import Admission
from dragonflyrock.entry.gate import Gate
from dragonflyrock.entry.limits import LimitAgent
from dragonflyrock.systems.limits import LimitGrant
from dragonflyrock.transport.messages import RateGrant


class Grants:
    """The grants that reach a host's share of the limits."""

    def __init__(self) -> None:
        """Start without grants."""
        self.demanded_at: list[float] = []

    def add_grant(
        self,
        customer: str,
        limit_grant: LimitGrant,
        demanded_at: float,
        *,
        standby: bool,
    ) -> None:
        """Record a grant."""
        self.demanded_at.append(demanded_at)


# Guards against a restarted host that holds permits of its former process: the clock of
# a machine that was started again begins anew, so they would last for hours.
@pytest.mark.parametrize(
    ("sent_at", "is_taken"), [(9.9, False), (5000.0, False), (10.2, True)]
)
def test_only_grants_of_demands_of_this_process_are_taken(
    sent_at: float, *, is_taken: bool
) -> None:
    now = 10.0
    grants = Grants()
    agent = LimitAgent(
        "me",
        cast(Gate, None),
        cast(Admission, grants),
        lambda peer, message: None,
        lambda: now,
    )
    now = 10.5
    agent.receive_grant(RateGrant("clerks", 1, 1, 0.0, False, False, sent_at, False))
    assert grants.demanded_at == ([sent_at] if is_taken else [])
