"""Test a fleet with so many hosts that each sends a server a request only seldom."""

from __future__ import annotations

from random import Random
from statistics import mean

from dragonflyrock.control.near import NearHosts
from dragonflyrock.control.reported_loads import ReportedLoads
from dragonflyrock.control.state import ControlState
from dragonflyrock.models import HostRecord
from dragonflyrock.router import RouterState
from dragonflyrock.router.budget import BudgetPolicy
from dragonflyrock.systems.spreading import Owner
from dragonflyrock.transport.messages import HostRenew

HOSTS = 185
SPEEDS = (0.6, 1.0, 1.4) * 47
WORK_SECONDS = 0.2
REQUESTS_PER_SECOND = 720
RENEW_SECONDS = 0.7
NEAR_MEMBERS = 9


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def learn_capacities(seconds: float) -> dict[float, list[float]]:
    """Return what a leader takes the capacity of servers for, by their speeds."""
    random, clock = Random(1), Clock()
    hosts = [RouterState(BudgetPolicy(), clock) for _ in range(HOSTS)]
    near = [NearHosts("a", ControlState(), 4000) for _ in range(NEAR_MEMBERS)]
    loads = ReportedLoads(0.0)
    while clock.now < seconds:
        clock.now += RENEW_SECONDS
        for _ in range(int(REQUESTS_PER_SECOND * RENEW_SECONDS)):
            number = random.randrange(len(SPEEDS))
            elapsed = WORK_SECONDS / SPEEDS[number] * random.uniform(0.7, 1.3)
            random.choice(hosts).record_processing_time(f"s{number}", elapsed)
        for number, host in enumerate(hosts):
            record = HostRecord(f"h{number}", 1, "a", "", "")
            renewal = HostRenew(record, clock.now, 0, (), (), speeds=host.pop_speeds())
            member = near[number % NEAR_MEMBERS]
            member.renew(renewal, 1, "leader", 0, clock.now)
        for member in near:
            report = member.make_report(clock.now)
            if report is not None:
                loads.add_speeds(report.speeds)
        loads.update_rates(clock.now)
    owners = [Owner(f"s{number}", 2.0) for number in range(len(SPEEDS))]
    known: dict[float, list[float]] = {}
    for owner in loads.add_capacities(owners, 0.6):
        known.setdefault(SPEEDS[int(owner.name[1:])], []).append(owner.capacity)
    return known


# Guards against servers that all count as equally fast, so that slow ones are
# overloaded: no host had enough samples of one server to report its speed.
def test_the_leader_learns_the_speeds_of_servers_from_many_hosts() -> None:
    known = learn_capacities(7.0)
    for slower, faster in ((0.6, 1.0), (1.0, 1.4)):
        assert mean(known[slower]) < 0.85 * mean(known[faster])
