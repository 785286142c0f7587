"""Runs the misbehaving clients of a soak in a process of their own and prints their events as JSON lines.

`python -m sedgepitch.scenarios.soak.crowd_process KIND PORT SECONDS NAME`; NAME begins all request ids.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import Any

from sedgepitch.scenarios.soak.misbehaving_clients import CrowdKind, MisbehavingClients


def record(event: str, **fields: Any) -> None:
    """Print one event."""
    print(json.dumps({"e": event, **fields}))


def main(kind: str, port: str, seconds: str, name: str) -> None:
    """Run one crowd."""
    clients = MisbehavingClients(lambda: int(port), random.Random(f"crowd/{name}"), record, name)
    asyncio.run(clients.play(CrowdKind(kind), float(seconds)))


if __name__ == "__main__":
    main(*sys.argv[1:])
