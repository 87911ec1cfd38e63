"""Settings of a node: what is read, and what is refused by its name."""

from __future__ import annotations

from pathlib import Path

import pytest

from dragonflyrock.node.settings import NodeSettings, load_node_settings
from dragonflyrock.settings import SettingsError

GOOD = """
seeds = ["10.0.0.3:80", "10.0.0.1:80"]
[node]
name = "10.0.0.1"
label = "core-1"
role = "control"
availability_zone = "a"
forming = true
data_folder = "/data"
[listen]
link = "10.0.0.1:7000"
control = "10.0.0.1:80"
"""


def load(folder: Path, text: str) -> NodeSettings:
    """Load settings from a file."""
    path = folder / "node.toml"
    path.write_text(text)
    return load_node_settings(path)


def test_seeds_have_one_order_on_all_nodes(tmp_path: Path) -> None:
    settings = load(tmp_path, GOOD)
    assert settings.seed_names == ("10.0.0.1", "10.0.0.3")
    assert settings.link_port == "7000"


@pytest.mark.parametrize(
    ("change", "told"),
    [
        (('role = "control"', 'role = "other"'), "node.role"),
        (('link = "10.0.0.1:7000"', 'link = "here"'), "listen.link"),
        (('control = "10.0.0.1:80"', ""), "listen.control"),
        (('data_folder = "/data"', ""), "node.data_folder"),
        (("forming = true", "forming = 3"), "forming"),
        (("forming = true", "colour = 3"), "colour"),
        (("[listen]", "[timeouts]\nhold_ms = 90000\n[listen]"), "hold_ms"),
        (("[listen]", "[bounds]\nstop_grace_s = 0\n[listen]"), "stop_grace_s"),
        (("[listen]", "[listen"), "not TOML"),
    ],
)
def test_bad_settings_name_the_field(
    tmp_path: Path, change: tuple[str, str], told: str
) -> None:
    with pytest.raises(SettingsError, match=told.replace(".", r"\.")):
        load(tmp_path, GOOD.replace(*change))


# Guards against a grace time of a fraction of seconds that ends the start.
def test_a_grace_time_may_have_a_fraction(tmp_path: Path) -> None:
    bounds = GOOD + "[bounds]\nstop_grace_s = 2.5\n"
    assert load(tmp_path, bounds).bounds.stop_grace_s == 2.5


def test_a_missing_file_is_told(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="No such file"):
        load_node_settings(tmp_path / "none.toml")
