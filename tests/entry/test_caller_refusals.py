"""Refusals on the callers' port before a request is dispatched."""

from __future__ import annotations

import hashlib
import io

import pytest

from dragonflyrock.entry.callers import CallersApp, CallersConfig
from dragonflyrock.entry.request import CallerRequest
from dragonflyrock.errors import Reason, Refusal
from dragonflyrock.models import Contract, ContractRow, Delta
from dragonflyrock.observe.metrics import Metrics
from dragonflyrock.transport.messages import HostUpdate

from .test_gate_notices import GateHost

TOKEN = "secret"
LEASE_SECONDS = 1000.0


@pytest.fixture
def host() -> GateHost:
    """Return a host with a lease and a contract for service "s"."""
    host = GateHost()
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    contract = Contract("c", (digest,), ("s",), 1.0, 1, 1, 100, 5000)
    row = ContractRow(contract, 1, "operator", 1)
    host.revision += 1
    delta = Delta(host.revision - 1, host.revision, False, contracts=(row,))
    host.gate.apply(HostUpdate(1, "leader", host.now, 1, delta, 0, None))
    return host


def make_app(host: GateHost) -> CallersApp:
    """Return the application, without what runs admitted requests."""
    return CallersApp(
        CallersConfig(1000, {}),
        host.gate,
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        Metrics(),
        lambda: host.now,
    )


def parse(host: GateHost, path: str, body: bytes = b"") -> CallerRequest | Refusal:
    """Parse a request of the customer."""
    environ = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": path,
        "HTTP_AUTHORIZATION": f"Bearer {TOKEN}",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    return make_app(host)._parse(environ, "id-1", host.now)


# Guards against CONFIG (issue 42, on the product's own port): a service or a body that
# a newer contract allows is refused by an old one, on a host without a lease.
@pytest.mark.parametrize(
    ("path", "body", "reason"),
    [
        ("/other/k", b"", Reason.UNKNOWN_SERVICE),
        ("/s/k", b"x" * 101, Reason.BODY_TOO_LARGE),
    ],
)
def test_a_host_without_a_lease_refuses_nothing_by_its_contracts(
    host: GateHost, path: str, body: bytes, reason: Reason
) -> None:
    refusal = parse(host, path, body)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == reason
    host.now += LEASE_SECONDS + 1.0
    refusal = parse(host, path, body)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.LEASE_LAPSED
    assert refusal.retry_after_ms


# Guards against LOST: a stopping host admits a request that may outlast it.
def test_a_request_that_may_outlast_the_host_is_not_admitted(host: GateHost) -> None:
    request = parse(host, "/s/k")
    assert isinstance(request, CallerRequest)
    host.gate.set_end(host.now + 4.9)
    refusal = make_app(host)._run(request)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.STOPPING
