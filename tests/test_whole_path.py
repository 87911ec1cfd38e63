"""A request through real processes on one host, also across a restart."""

from __future__ import annotations

import subprocess
import sys

from dragonflyrock.trial import OPERATOR_TOKEN, SINGLE

from .conftest import StartFleet


def test_request_reaches_its_owner_and_its_answer_survives_a_restart(
    start_fleet: StartFleet,
) -> None:
    fleet = start_fleet(SINGLE)
    assert fleet.put_contract("registry", "secret")["version"] == 1
    caller = fleet.make_caller("secret")
    fleet.wait_for("contract", lambda: caller.call("GET", "/finder/k").status == 200)

    answer = caller.call("GET", "/finder/expert-7?size=1000")
    assert (answer.status, answer.outcome) == (200, "completed")
    assert answer.json()["key"] == "expert-7"
    assert answer.json()["content"] == "e" * 1000

    first = caller.call("POST", "/finder/k", b"retain", {"Idempotency-Key": "r1"})
    fleet.hosts["local-1"].kill()
    fleet.hosts["local-1"].restart()
    fleet.wait_ready()
    caller = fleet.make_caller("secret")
    fleet.wait_for("service", lambda: caller.call("GET", "/finder/k").status == 200)
    again = caller.call("POST", "/finder/k", b"retain", {"Idempotency-Key": "r1"})
    assert again.body == first.body
    ran = [line for line in fleet.read_journals() if line.body == "retain"]
    assert len(ran) == 1

    status = subprocess.run(
        [
            sys.executable,
            "-m",
            "dragonflyrock.cli.main",
            "status",
            "--at",
            fleet.operators_address(0),
        ],
        env={"DRAGONFLYROCK_TOKEN": OPERATOR_TOKEN},
        capture_output=True,
        text=True,
        check=True,
    )
    assert "finder-3" in status.stdout
    assert fleet.hosts["local-1"].terminate() == 0
