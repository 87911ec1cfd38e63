"""Load while servers leave, or ask for pauses; each test names its pattern.

Each compares the figure with and without what servers say in their responses.
"""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple

from .notices_model import Arrival, NoticesModel, NoticesPlan, make_rows

# A server may get this many requests of a host in a pause, from this time on.
MAX_PAUSED_ARRIVALS: Final = 2
PAUSE_NOTICE_SECONDS: Final = 0.5
HEARTBEAT_DELAY_SECONDS: Final = 0.5


def count_after_notice(model: NoticesModel) -> int:
    """Return the requests to servers that had told the same host that they leave."""
    told: set[tuple[int, str]] = set()
    late = 0
    for arrival in model.arrivals:
        key = (arrival.host, arrival.server)
        is_leaving = model.plan.is_leaving(arrival.at, arrival.server)
        late += is_leaving and key in told
        if is_leaving:
            told.add(key)
    return late


def run_roll(*, listens: bool) -> int:
    """Return the requests that hosts sent to servers that had told them they leave."""
    rows = make_rows(6)
    plan = NoticesPlan(listens=listens)
    plan.is_leaving = lambda now, name: now >= 1 + int(name[1:])
    for number in range(5):
        stopping = tuple(
            row._replace(stopping=int(row.name[1:]) <= number) for row in rows
        )
        plan.rows_at.append((1 + number + HEARTBEAT_DELAY_SECONDS, stopping))
    plan.seconds = 6.0
    return count_after_notice(NoticesModel(plan).run())


# Guards against new work for servers whose leaving is known from their answers, 0.5 s
# before their heartbeats tell it. Pattern: a roll over all servers but one.
def test_a_roll_in_which_servers_say_that_they_leave_before_their_heartbeats() -> None:
    without, with_notices = run_roll(listens=False), run_roll(listens=True)
    assert with_notices == 0
    assert without > 20


def count_paused_arrivals(arrivals: list[Arrival], plan: NoticesPlan) -> int:
    """Return the most requests of one host to one server within one pause of it."""
    counts: Counter[tuple[int, str, int]] = Counter()
    pauses: dict[tuple[int, str], tuple[float, float, int]] = {}
    for at, host, server, status in arrivals:
        key = (host, server)
        since, until, number = pauses.get(key, (0.0, 0.0, 0))
        if since + PAUSE_NOTICE_SECONDS < at < until:
            counts[host, server, number] += 1
        if status == 503:
            pauses[key] = (at, at + plan.get_pause(at, server), number + 1)
    return max(counts.values(), default=0)


class PausedRun(NamedTuple):
    """A run of a plan with pauses.

    ``most`` is the largest number of requests of one host in one pause of a server,
    ``turned_away`` counts all requests that servers turned away.
    """

    model: NoticesModel
    most: int
    turned_away: int


def run_paused(plan: NoticesPlan) -> PausedRun:
    """Run a plan and count what servers got in their pauses."""
    model = NoticesModel(plan).run()
    turned_away = sum(1 for arrival in model.arrivals if arrival.status == 503)
    return PausedRun(model, count_paused_arrivals(model.arrivals, plan), turned_away)


# Guards against requests to a server that wants none for two seconds. Pattern: one of
# six servers pauses under load, and 20 hosts send to it.
def test_a_server_that_pauses_while_twenty_hosts_send() -> None:
    def get_pause(now: float, name: str) -> float:
        """Pause one server from second 2 to 6."""
        return 2.0 if name == "s0" and 2 <= now < 6 else 0.0

    without = run_paused(NoticesPlan(listens=False, get_pause=get_pause))
    run = run_paused(NoticesPlan(get_pause=get_pause))
    assert run.most <= MAX_PAUSED_ARRIVALS < without.most
    assert run.turned_away < 0.25 * without.turned_away
    assert run.model.refused == 0


# Guards against callers that are refused while other servers could serve them. Pattern:
# each server of a service pauses for a second, one after the other.
def test_all_servers_pause_in_turn() -> None:
    def get_pause(now: float, name: str) -> float:
        """Pause the server whose turn it is until its second is over."""
        return 1 - now % 1 if int(now) % 6 == int(name[1:]) else 0.0

    without = run_paused(NoticesPlan(listens=False, get_pause=get_pause))
    run = run_paused(NoticesPlan(get_pause=get_pause))
    assert run.most <= MAX_PAUSED_ARRIVALS
    assert run.turned_away < 0.25 * without.turned_away
    assert run.model.refused == 0


# Guards against callers that wait for nothing, or all come back in one step. Pattern:
# all servers of a service pause at once.
def test_all_servers_pause_at_once() -> None:
    def get_pause(now: float, name: str) -> float:
        """Pause all servers from second 2 to 4."""
        return 4 - now if 2 <= now < 4 else 0.0

    without = run_paused(NoticesPlan(listens=False, get_pause=get_pause))
    run = run_paused(NoticesPlan(get_pause=get_pause, seconds=7.0))
    model = run.model
    assert run.most <= MAX_PAUSED_ARRIVALS
    assert run.turned_away < 0.25 * without.turned_away
    returns = [at for at in model.returns if at >= 4]
    busiest = max(Counter(int(at * 20) for at in returns).values())
    # Servers tell the time in milliseconds.
    assert min(model.returns) >= 4 - 0.001
    assert busiest < 0.2 * len(returns)
    first = Counter(int((a.at - 4) * 20) for a in model.arrivals if 4 <= a.at < 4.25)
    # The servers have 24 slots, and work takes 50 ms.
    assert max(first.values()) <= 2 * 24


# Guards against a server that is flooded each time that it opens. Pattern: a server
# pauses for a second and serves for a second by turns.
def test_a_flapping_server() -> None:
    def get_pause(now: float, name: str) -> float:
        """Pause one server in each second second."""
        return 1 - now % 1 if name == "s0" and int(now) % 2 else 0.0

    without = run_paused(NoticesPlan(listens=False, get_pause=get_pause))
    run = run_paused(NoticesPlan(get_pause=get_pause))
    assert run.most <= MAX_PAUSED_ARRIVALS
    assert run.turned_away < 0.25 * without.turned_away
    assert run.model.refused == 0
    served = Counter(a.server for a in run.model.arrivals if a.status == 200)
    assert served["s0"] > 0


# Guards against a restarted server that gets nothing because its predecessor left.
# Pattern: a server leaves and starts again under the same name.
def test_a_server_that_leaves_and_starts_again_under_its_name() -> None:
    restarted = tuple(
        row._replace(incarnation=2) if row.name == "s0" else row for row in make_rows(6)
    )
    plan = NoticesPlan(rows_at=[(4.0, restarted)])
    plan.is_leaving = lambda now, name: name == "s0" and 2 <= now < 4
    plan.listens = False
    assert count_after_notice(NoticesModel(plan).run()) > 20
    plan.listens = True
    model = NoticesModel(plan).run()
    assert count_after_notice(model) == 0
    assert any(a.server == "s0" and a.at > 4 for a in model.arrivals)
