"""Fixtures for tests on sockets: emulated fleets with proxies, and an emulated platform."""

from __future__ import annotations

import contextlib
from importlib.resources import files

import pytest
import yaml
from hypothesis import settings

from sedgepitch.scenarios.port_reservations import PortReservations
from sedgepitch.scenarios.processes import stage
from tests.support.platform import running_platform

# The same examples in each run, so that results are reproducible. To try new seeds, pass
# `--hypothesis-profile default --hypothesis-seed N`; add a test for each failure that they find.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


def example() -> dict:
    """Return the example settings with short times, so that the emulated servers are fast."""
    settings = yaml.safe_load(files("sedgepitch.config").joinpath("example.yaml").read_text())
    settings["standins"] |= {
        "read_work": {"least": "0.5 ms", "most": "1 ms"},
        "write_work": {"least": "0.5 ms", "most": "1 ms"},
        "election_after": "300 ms",
        "election_takes": "200 ms",
        "list_delay": "50 ms",
    }
    return settings


@pytest.fixture(scope="session")
def calm(tmp_path_factory):
    """A shared fleet with one proxy, for tests that inject no faults."""
    with stage(example(), tmp_path_factory.mktemp("calm")) as fleet:
        fleet.driver("calm-1")
        yield fleet


@pytest.fixture
def rough(tmp_path):
    """A fleet for one test, which may inject faults."""
    with stage(example(), tmp_path) as fleet:
        yield fleet


@pytest.fixture
def platform(tmp_path):
    """One proxy process on an emulated platform, with its endpoint list received."""
    with running_platform(tmp_path) as running:
        yield running


@pytest.fixture
def ports():
    """Ports for listeners of one test that no other process is given."""
    with contextlib.closing(PortReservations()) as reservations:
        yield reservations
