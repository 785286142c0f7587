"""`sedgepitch config`: validate settings, print their JSON schema or an example."""

from __future__ import annotations

import json
from importlib.resources import files

import click

from sedgepitch.cli.options import load_settings
from sedgepitch.config.models import Settings


@click.group()
def config() -> None:
    """Validate settings, or print their schema or an example."""


@config.command("check")
@click.argument("path", type=click.Path(dir_okay=False))
def config_check(path: str) -> None:
    """Validate a settings file."""
    settings = load_settings(path)
    click.echo(f"{path}: good: {len(settings.classes)} classes, {len(settings.members)} members")


@config.command("schema")
def config_schema() -> None:
    """Print the JSON schema of the settings."""
    click.echo(json.dumps(Settings.model_json_schema(), indent=2))


@config.command("example")
def config_example() -> None:
    """Print example settings, with which `emulator` and `serve` both run unchanged."""
    click.echo(files("sedgepitch.config").joinpath("example.yaml").read_text(encoding="utf-8"), nl=False)
