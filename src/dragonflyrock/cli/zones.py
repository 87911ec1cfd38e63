"""Commands that evacuate an availability zone and take it back."""

from __future__ import annotations

from .client import OperatorClient, quote_path_segment

__all__ = ["evacuate_zone", "return_zone"]


def evacuate_zone(zone: str, *, at: str = "") -> int:
    """Evacuate a zone: its backend servers get no more requests and ranges.

    :param zone: the availability zone's name
    :param at: operators' ports as ``ip:port``, separated by commas
    """
    path = f"/evacuations/{quote_path_segment(zone)}"
    OperatorClient(at).call("PUT", path)
    print(f"{zone} is evacuated; see `dragonflyrock status`")
    return 0


def return_zone(zone: str, *, at: str = "") -> int:
    """Take an evacuated zone back.

    :param zone: the availability zone's name
    :param at: operators' ports as ``ip:port``, separated by commas
    """
    path = f"/evacuations/{quote_path_segment(zone)}"
    OperatorClient(at).call("DELETE", path)
    print(f"{zone} may get requests and ranges again")
    return 0
