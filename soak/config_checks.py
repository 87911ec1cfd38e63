"""Checks of configurations: what was accepted is kept, read back and in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from .const import CONFIG_APPLY_SECONDS, OPERATOR_GIVES_UP_SECONDS
from .facts import Facts
from .models import Put, Read, Violation

__all__ = ["CONFIG_CHECKS"]


def check_read(facts: Facts) -> Iterator[Violation]:
    """A read shows the newest accepted version or a later one, as it was sent."""
    for record in facts.records:
        if isinstance(record, Read):
            yield from _check_read(facts, record)


def _check_read(facts: Facts, read: Read) -> Iterator[Violation]:
    """Find what one read shows wrongly."""
    for put in facts.accepted:
        is_due = put.at + CONFIG_APPLY_SECONDS < read.sent_at or (
            read.last and put.at < read.sent_at
        )
        if is_due and put.version > read.version:
            detail = f"read r{read.version} after r{put.version} was accepted"
            yield Violation("CONFIG", read.at, detail, f"{read.node} {put.node}")
        if put.version == read.version and put.content != read.content:
            detail = f"r{read.version} is not what was accepted"
            yield Violation("CONFIG", read.at, detail, f"{read.node} {put.node}")
    for put in facts.puts:
        is_same = (put.version, put.content) == (read.version, read.content)
        if put.status >= 400 and is_same and not _is_accepted(facts, put):
            detail = f"r{put.version} is in force but was refused ({put.status})"
            yield Violation("CONFIG", read.at, detail, f"{read.node} {put.node}")


def _is_accepted(facts: Facts, put: Put) -> bool:
    """Return whether an equal change was accepted or left without a clear answer."""
    return any(
        other.status in (0, 200)
        and (other.version, other.content) == (put.version, put.content)
        for other in facts.puts
    )


def check_race(facts: Facts) -> Iterator[Violation]:
    """Of two changes on the same version, one is accepted."""
    bases: dict[int, Put] = {}
    for put in facts.accepted:
        other = bases.setdefault(put.base, put)
        if (other.version, other.content) != (put.version, put.content):
            detail = f"r{other.version} and r{put.version} on top of r{put.base}"
            yield Violation("CONFIG", put.at, detail, f"{put.node} {other.node}")


def check_replay(facts: Facts) -> Iterator[Violation]:
    """A change that was accepted is accepted again."""
    for put in facts.puts:
        if put.again and put.status not in (0, 200):
            detail = f"r{put.version} was accepted, then refused ({put.status})"
            yield Violation("CONFIG", put.at, detail, put.node)


def check_route(facts: Facts) -> Iterator[Violation]:
    """A route that was accepted is known at every node in touch."""
    for answer in facts.answered.values():
        if answer.status != 404 or answer.stamped:
            continue
        if facts.now - answer.at < OPERATOR_GIVES_UP_SECONDS + 1 and not facts.is_over:
            # A change under way then may have removed the route.
            continue
        sent = facts.sent[answer.request]
        due = [p for p in facts.accepted if p.at + CONFIG_APPLY_SECONDS < sent.at]
        if not due:
            continue
        newest = max(due, key=lambda put: put.version)
        allowed = [
            put
            for put in facts.puts
            if put.version >= newest.version and put.sent_at < answer.at
        ]
        has = f'"name": "{sent.route}"'
        if not all(has in put.content for put in allowed):
            continue
        if facts.is_calm(answer.node, newest.at, answer.at):
            subject = f"{answer.request} {answer.node}"
            yield Violation("CONFIG", answer.at, f"404 on {sent.route}", subject)


CONFIG_CHECKS: Final = (check_read, check_race, check_replay, check_route)
