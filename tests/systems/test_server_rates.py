"""Tests of the limit of a server as a total over hosts."""

from __future__ import annotations

from itertools import combinations

import pytest

from dragonflyrock.entry.server_rates import ServerRateAgent
from dragonflyrock.entry.tables import EntryTables
from dragonflyrock.models import ServerRow
from dragonflyrock.systems.server_rates import (
    SILENCE_SECONDS,
    HostTokens,
    ServerLimiter,
    TokenState,
)
from dragonflyrock.transport.messages import ServerRateDemand, ServerRateGrant

SERVER = ServerRow("one", "s", "127.0.0.1:9", "a", 1, 2, 0, True)
HOLDER = SERVER.holder
LIMITERS = ("first", "second")


def make_demand(
    tokens: int = 1, number: int = 1, per_second: float = 2.0, age: float = 0.0
) -> ServerRateDemand:
    """Return a demand for the server."""
    return ServerRateDemand(HOLDER, per_second, age, tokens, number)


@pytest.fixture
def limiter() -> ServerLimiter:
    """Return a limiter that has limited the server since second 0."""
    limiter = ServerLimiter()
    limiter.allocate("host", make_demand(0, 0), 0.0, 0.0, reduced=False)
    return limiter


@pytest.fixture
def tokens() -> HostTokens:
    """Return the tokens of a host."""
    return HostTokens()


def claim(tokens: HostTokens, now: float) -> TokenState:
    """Claim a token for a server that takes 2 requests/s; return the state."""
    return tokens.claim(HOLDER, 2.0, LIMITERS, 10, now).state


def ask(tokens: HostTokens, now: float) -> tuple[str, ServerRateDemand]:
    """Return the limiter to ask, and the demand."""
    due = tokens.find_due_demand(HOLDER, 2.0, 0.0, LIMITERS, now)
    assert due is not None
    return due.peer, due.demand


# Guards against a new limiter that grants what its predecessor has granted already.
def test_a_limiter_starts_without_tokens() -> None:
    grant = ServerLimiter().allocate(
        "host", make_demand(5), 100.0, 100.0, reduced=False
    )
    assert grant == ServerRateGrant(HOLDER, 0, 0.5, 1)


# Guards against a limiter that makes the first callers wait although it has been the
# limiter since before the server named its limit, and nobody has used its rate.
def test_a_limiter_that_is_not_new_grants_the_first_tokens() -> None:
    demand = make_demand(5, age=3.0)
    grant = ServerLimiter().allocate("host", demand, 90.0, 100.0, reduced=False)
    assert grant.tokens == 1


# Guards against a demand that is sent again and takes tokens twice.
def test_a_repeated_demand_gets_the_same_grant(limiter: ServerLimiter) -> None:
    first = limiter.allocate("host", make_demand(1), 0.0, 10.0, reduced=False)
    again = limiter.allocate("host", make_demand(1), 0.0, 10.1, reduced=False)
    assert first == again
    assert first.tokens == 1
    other = limiter.allocate("other", make_demand(1), 0.0, 10.1, reduced=False)
    assert other.tokens == 0


# Guards against tokens that were saved while a server was idle and are used at once.
def test_an_idle_server_saves_the_tokens_of_half_a_second(
    limiter: ServerLimiter,
) -> None:
    demand = make_demand(1000, 1, 100.0)
    assert limiter.allocate("host", demand, 0.0, 60.0, reduced=False).tokens == 50


# Guards against a host that was told an earlier limit and raises the total again.
def test_the_limit_that_was_named_last_counts(limiter: ServerLimiter) -> None:
    limiter.allocate("host", make_demand(0, 1, 4.0), 0.0, 10.0, reduced=False)
    old = make_demand(100, 1, 400.0, age=5.0)
    assert limiter.allocate("other", old, 0.0, 11.0, reduced=False).tokens == 2


# Guards against a standby that doubles the total.
def test_a_standby_grants_half(limiter: ServerLimiter) -> None:
    demand = make_demand(1000, 1, 100.0)
    assert limiter.allocate("host", demand, 0.0, 60.0, reduced=True).tokens == 25


# Guards against limits of servers and hosts that are gone and take memory for ever.
def test_a_limiter_forgets_what_is_gone(limiter: ServerLimiter) -> None:
    limiter.retain({HOLDER: 1}, {"other": 1})
    assert limiter._rows[HOLDER].granted == {}
    limiter.retain({}, {"other": 1})
    assert limiter._rows == {}


# Guards against one demand for each of many requests that come at once.
def test_requests_that_wait_share_a_demand(tokens: HostTokens) -> None:
    assert [claim(tokens, 1.0) for _ in range(3)] == [TokenState.WAITING] * 3
    peer, demand = ask(tokens, 1.0)
    assert (peer, demand.tokens) == ("first", 3)
    assert tokens.find_due_demand(HOLDER, 2.0, 0.0, LIMITERS, 1.01) is None
    assert tokens.add_grant(peer, ServerRateGrant(HOLDER, 2, 0.5, demand.number), 1.02)
    states = [claim(tokens, 1.02) for _ in range(3)]
    assert states == [TokenState.GRANTED, TokenState.GRANTED, TokenState.DENIED]
    assert tokens.get_denied_seconds(HOLDER, 1.02) == pytest.approx(0.5)


# Guards against a grant that arrives after another limiter was asked, or twice.
def test_a_late_grant_does_not_count(tokens: HostTokens) -> None:
    claim(tokens, 1.0)
    peer, demand = ask(tokens, 1.0)
    grant = ServerRateGrant(HOLDER, 1, 0.0, demand.number)
    assert tokens.drop_silent(1.0 + SILENCE_SECONDS) == ["first"]
    assert not tokens.add_grant(peer, grant, 1.3)
    assert claim(tokens, 1.3) == TokenState.WAITING
    peer, demand = ask(tokens, 1.3)
    assert peer == "second"
    grant = ServerRateGrant(HOLDER, 1, 0.0, demand.number)
    assert tokens.add_grant(peer, grant, 1.31)
    assert not tokens.add_grant(peer, grant, 1.31)


# Guards against tokens that a host keeps and uses together with later ones.
def test_a_token_that_is_not_used_expires(tokens: HostTokens) -> None:
    claim(tokens, 1.0)
    peer, demand = ask(tokens, 1.0)
    tokens.add_grant(peer, ServerRateGrant(HOLDER, 1, 0.0, demand.number), 1.0)
    assert claim(tokens, 2.0) == TokenState.WAITING


# Guards against a host that sends without bound while it reaches no limiter.
def test_an_isolated_host_has_a_small_rate(tokens: HostTokens) -> None:
    now = granted = 0
    for now in range(800):
        at = now / 10
        granted += claim(tokens, at) == TokenState.GRANTED
        tokens.find_due_demand(HOLDER, 2.0, 0.0, LIMITERS, at)
        tokens.drop_silent(at)
    # A quarter of 2 requests/s, divided among ten hosts.
    assert 3 <= granted <= 80 * 2 / 4 / 10


def find_first_number(now: float) -> int:
    """Return the number of the first demand of a host that starts now."""
    tables = EntryTables(hosts=("me",), servers={SERVER.name: SERVER})
    sent: list[ServerRateDemand] = []

    def send(peer: str, message: ServerRateDemand | ServerRateGrant) -> None:
        """Keep a demand."""
        assert isinstance(message, ServerRateDemand)
        sent.append(message)

    agent = ServerRateAgent("me", tables, lambda: now, send)
    agent.record_limit(SERVER, 2.0)
    agent.claim(SERVER)
    return sent[-1].number


# Guards against a restarted host whose first demand is taken for a repeat of one of its
# former process, and gets the same tokens once more. The clock may show the same time:
# it begins anew when the machine starts again.
def test_a_restarted_host_numbers_its_demands_anew() -> None:
    numbers = [find_first_number(now) for now in (50.0, 50.0, 50.5)]
    assert all(0 < number < 2**63 for number in numbers)
    assert all(abs(one - other) > 1_000_000 for one, other in combinations(numbers, 2))
