"""The schema of a fleet scenario's YAML file: fleet size, traffic and steps."""

from __future__ import annotations

from importlib.resources import files
from pathlib import Path
from typing import Any, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from sedgepitch.scenarios.errors import ScenarioError


class Step(BaseModel):
    """One step: a fault, a burst or an operator command. `at` and `for` are in seconds of the scenario."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)

    at: float = Field(ge=0)
    do: Literal[
        "lose", "crash", "slow", "lag", "drain", "cut", "cut_peers", "lossy_peers", "garbage", "burst",
        "kill", "start", "freeze", "leave", "return",
    ]  # fmt: skip
    lasts: float = Field(0.0, ge=0, alias="for")
    zone: str = ""
    part: float = Field(1.0, gt=0, le=1)  # share of the zone's endpoints, or of the proxies
    origin: str = Field("", alias="from")
    to: str = ""
    drivers: list[int] = []
    factor: float = Field(10.0, gt=0)
    each: float = Field(0.0, ge=0)  # s between one endpoint and the next
    once: Literal["", "left", "returning"] = ""  # wait until most proxies have logged this state of the zone


class Script(BaseModel):
    """A whole fleet scenario."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    length: float = Field(60.0, gt=0, le=600)
    drivers: int = Field(12, ge=1, le=64)
    members: int = Field(9, ge=2, le=60)
    zones: list[str] = Field(["north", "middle", "south"], min_length=1, max_length=6)
    rate: float = Field(240.0, gt=0, le=2000)
    settings: dict[str, dict[str, Any]] = {}
    wrong_key: list[int] = []  # numbers of the proxies that use a different key
    # Python arguments for extra peers; {name}, {key} and {seed} are filled in, routes appended.
    beside: list[str] = []
    steps: list[Step] = Field([], max_length=200)

    @model_validator(mode="after")
    def _names(self) -> Script:
        for number, step in enumerate(self.steps, 1):
            for name in (step.zone, step.origin, step.to):
                if name and name not in self.zones:
                    raise ValueError(f"step {number}: there is no zone '{name}'")
            if step.do in ("lose", "crash", "slow", "lag", "drain", "leave", "return") and not step.zone:
                raise ValueError(f"step {number}: '{step.do}' needs a zone")
            if step.once and not step.zone:
                raise ValueError(f"step {number}: 'once' needs a zone")
            if step.do == "cut" and not (step.origin and step.to):
                raise ValueError(f"step {number}: a cut needs 'from' and 'to'")
            if any(not 1 <= d <= self.drivers for d in step.drivers):
                raise ValueError(f"step {number}: drivers are 1 to {self.drivers}")
        return self


def read_script(path: str | None) -> Script:
    """Read a script, by default the package's own; raise ScenarioError that names the faulty place."""
    try:
        if path is None:
            text = files("sedgepitch.scenarios").joinpath("fleet_scenario.yaml").read_text(encoding="utf-8")
        else:
            text = Path(path).read_text(encoding="utf-8")
        return Script.model_validate(yaml.safe_load(text))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(p) for p in first["loc"])
        raise ScenarioError(f"{path}: {place}: {first['msg']}") from None
    except (OSError, yaml.YAMLError) as error:
        raise ScenarioError(f"{path}: {str(error).splitlines()[0]}") from None
