"""Options and helpers that several commands share."""

from __future__ import annotations

import json
import urllib.request
from typing import Any

import click

from sedgepitch.config.load import SettingsError, load
from sedgepitch.config.models import Settings

STATE_TIMEOUT_S = 5.0  # for one request to a running proxy

CONFIG = click.option(
    "--config", "path", required=True, type=click.Path(dir_okay=False), help="Settings (YAML)."
)


def load_settings(path: str) -> Settings:
    """Load the settings at `path`; raises ClickException whose message names file, line and key."""
    try:
        return load(path)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None


def fetch_state(path: str, page: str) -> dict[str, Any]:
    """Fetch a status page as JSON from the running proxy that these settings describe.

    Raises ClickException if no metrics address is set or no proxy answers there.
    """
    settings = load_settings(path)
    if settings.metrics is None:
        raise click.ClickException(
            f"{path}: 'metrics', the address that serves the status page '{page}', is not set"
        )
    host, port = settings.metrics
    try:
        with urllib.request.urlopen(f"http://{host}:{port}/{page}", timeout=STATE_TIMEOUT_S) as answer:
            state: dict[str, Any] = json.load(answer)
    except (OSError, ValueError):
        raise click.ClickException(f"no proxy answers at {host}:{port}") from None
    return state
