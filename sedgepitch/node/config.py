"""What the platform tells a driver: four variables and a JSON file; errors name the place."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sedgepitch.decisions.discovery.list_versions import Address, Version
from sedgepitch.discovery.client import BadVersion, read_address, read_version
from sedgepitch.routing import messages as api
from sedgepitch.settings import InvalidInputError, read_number, translate_settings

MOST_BYTES = 16 * 1024 * 1024
CONNECT_WITHIN, IDLE_FOR = 1.0, 60.0  # s, where the settings state none, or 0


class BadConfig(ValueError):
    """The configuration cannot be used; the text says where and why."""


@dataclass(slots=True, frozen=True)
class Config:
    """One configuration. Times in seconds; `memory` in MB; a limit of 0 is none stated."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    cores: float
    memory: float
    sockets: int
    known: Version | None
    settings: api.Settings
    connect_within: float
    idle_for: float


def _limit(raw: Mapping[str, Any], name: str) -> float:
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise BadConfig(f"limits.{name}: not a number of 0 or more")
    return float(value)


def parse(text: str, environment: Mapping[str, str], wall: float) -> Config:
    """Read a configuration; variables stand in for what the file does not say. Raises BadConfig."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise BadConfig("the file is not JSON") from None
    if not isinstance(raw, dict):
        raise BadConfig("the file is not a JSON object")

    def told(key: str, variable: str) -> str:
        value = raw.get(key, environment.get(variable))
        if not isinstance(value, str) or not value:
            raise BadConfig(f"{key}: missing, and so is {variable}")
        return value

    limits, settings = raw.get("limits", {}), raw.get("settings")
    if not isinstance(limits, dict):
        raise BadConfig("limits: not an object")
    if not isinstance(settings, dict):
        raise BadConfig("settings: missing, or not an object")
    seed = raw.get("seed", "0")
    try:
        seeded = int(seed, 16) if isinstance(seed, str) else int(seed)
        listen = read_address(told("listen", "RELAY_LISTEN"), "listen", least=0)
        discovery = read_address(told("discovery", "RELAY_DISCOVERY"), "discovery")
        known = None if raw.get("known") is None else read_version(raw["known"], wall, "known")
        translated = translate_settings(settings)
        stated = settings.get("limits", {})
        connect_within = read_number(stated, "connectTimeoutS", 0.0, "limits") or CONNECT_WITHIN
        idle = read_number(stated, "idleCloseS", 0.0, "limits") or IDLE_FOR
    except BadVersion as error:
        raise BadConfig(str(error)) from None
    except InvalidInputError as error:
        raise BadConfig(f"settings: {error}") from None
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise BadConfig(f"a value of the wrong type: {error}") from None
    return Config(
        name=told("name", "RELAY_NAME"),
        listen=listen,
        discovery=discovery,
        seed=seeded,
        cores=_limit(limits, "cores"),
        memory=_limit(limits, "memory_mb"),
        sockets=int(_limit(limits, "sockets")),
        known=known,
        settings=translated,
        connect_within=connect_within,
        idle_for=idle,
    )


def load(environment: Mapping[str, str], wall: float) -> Config:
    """Read the file that RELAY_CONFIG names. Raises BadConfig."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise BadConfig("RELAY_CONFIG: missing")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MOST_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise BadConfig(f"{path}: {error}") from None
    if len(text) > MOST_BYTES:
        raise BadConfig(f"{path}: more than {MOST_BYTES} bytes")
    return parse(text, environment, wall)
