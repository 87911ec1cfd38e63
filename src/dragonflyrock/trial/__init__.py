"""Trials on loopback: many hosts as processes, their settings, load and journals."""

from __future__ import annotations

from .caller import Caller, CallResult
from .fleet import OPERATOR_TOKEN, Fleet, FleetPlan, Process
from .plans import LAHORE, SINGLE, STOCKHOLM, ServicePlan

__all__ = [
    "LAHORE",
    "OPERATOR_TOKEN",
    "SINGLE",
    "STOCKHOLM",
    "CallResult",
    "Caller",
    "Fleet",
    "FleetPlan",
    "Process",
    "ServicePlan",
]
