"""Seeded event sequences for the discovery and connection decisions, with a transcript of the decisions.

The transcript contains no identifiers of the code under test, so renames leave it unchanged. Floats are
written by repr: two versions give the same transcript only if every decision and every float operation is the
same. The names of the functions in PARTS are part of their seeds and must not change. Times are virtual
seconds.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Callable, Iterable

from sedgepitch.decisions.connections.client_connections import ClientConnections
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.decisions.discovery.list_versions import DiscoveredEndpoint, EndpointListVersions, ListVersion
from sedgepitch.decisions.discovery.watch_streams import WatchStreams
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.json_stream import JsonObjectSplitter
from sedgepitch.discovery.list_format import read_version
from sedgepitch.routing.messages import EndpointState

WATCH_STEPS = 900
LIST_STEPS = 150
CONNECTION_STEPS = 1200
BUDGET_STEPS = 600
STREAM_OBJECTS = 40
PHASES = ("up", "draining", "removed")
WALL_S = 1_700_000_000.25


class Transcript:
    """Collects one line per decision; `digest` is the SHA-256 of the text."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.kinds: set[str] = set()

    def add(self, kind: str, *values: object) -> None:
        """Add one decision: its kind, and the repr of each value."""
        self.kinds.add(kind)
        self.lines.append(" ".join([kind, *(repr(value) for value in values)]))

    def digest(self) -> str:
        """Return the digest of all lines."""
        return hashlib.sha256("\n".join(self.lines).encode()).hexdigest()


def watch_streams(draw: random.Random, out: Transcript) -> None:
    """Open, answer, lose and move watch streams in random order, as the watch client does."""
    streams: WatchStreams[int] = WatchStreams()
    now = draw.uniform(0.0, 1000.0)
    number = 0
    for _ in range(WATCH_STEPS):
        open_keys = streams.all()
        key = draw.choice([*open_keys, number + 1000]) if open_keys else 0
        step = draw.choice(("wait", "wait", "answered", "heartbeat", "heartbeat", "partial", "lost", "moved"))
        if step == "wait":
            now += draw.choice((0.01, 0.3, 1.1, 2.0, 3.3)) * draw.random()
        elif step == "answered":
            streams.response_started(key, now)
        elif step == "heartbeat":
            out.add("closed-by-heartbeat", streams.heartbeat(key, now))
        elif step == "partial":
            streams.partial_object(key, now - draw.uniform(0.0, 4.0), now)
        elif step == "lost":
            streams.lost(key, now)
        elif draw.random() < 0.2:
            source = draw.randrange(3)
            streams.source_moved(source)
            out.add("moved", source)
        if streams.should_open(now):
            number += 1
            out.add("closed-by-opening", number, streams.opened(number, now))
        out.add(
            "streams",
            now,
            streams.active,
            streams.candidates,
            streams.all(),
            streams.next_open_at(),
            streams.open_at,
        )


def _entries(draw: random.Random, names: list[str]) -> tuple[DiscoveredEndpoint, ...]:
    states = {
        "up": EndpointState.UP,
        "draining": EndpointState.DRAINING,
        "removed": EndpointState.GONE,
    }
    return tuple(
        DiscoveredEndpoint(
            name,
            (f"10.0.0.{draw.randrange(9)}", draw.randrange(1, 9999)),
            draw.choice("abc"),
            draw.randrange(4),
            states[draw.choice(PHASES)],
            draw.choice((1.0, 0.5, 2.25)),
            draw.choice((0.0, draw.uniform(0.0, 50.0))),
            draw.random() < 0.3,
        )
        for name in names
    )


def list_versions(draw: random.Random, out: Transcript) -> None:
    """Apply complete lists and changes with newer, equal and older revisions, and forget endpoints."""
    versions = EndpointListVersions()
    names = [f"s-{draw.randrange(1 << 32):08x}" for _ in range(30)] + ["plumless", "buckeroo"]  # same CRC-32
    revision = draw.randrange(50)
    for _ in range(LIST_STEPS):
        revision = max(0, revision + draw.choice((1, 1, 1, 0, -4, 3)))
        listed = draw.sample(names, draw.randrange(9))
        complete = draw.random() < 0.4
        cached = draw.random() < 0.1
        update = versions.apply(ListVersion(revision, complete, _entries(draw, listed)), cached)
        if update is None:
            out.add("not-newer", revision)
        else:
            out.add("update", update.complete, update.remembered)
            for item in update.entries:
                out.add(
                    "entry", item.endpoint, item.group, item.state.name, item.zone, item.primary, item.size,
                    item.started,
                )  # fmt: skip
        if versions.names and draw.random() < 0.3:
            endpoint = draw.choice(sorted(versions.names))
            versions.forget(endpoint)
            out.add("forgotten", endpoint, endpoint in versions.names)
        out.add(
            "list", versions.revision, sorted(versions.names.items()), sorted(versions.addresses.items()),
            sorted(versions.present), sorted(versions.withheld), len(versions.departures),
        )  # fmt: skip


def client_connections(draw: random.Random, out: Transcript) -> None:
    """Move client connections through all states in random order."""
    table: ClientConnections[int] = ClientConnections(draw.choice((6, 12, 40)))
    now, number = draw.uniform(0.0, 100.0), 0
    keys: list[int] = []
    steps: dict[str, Callable[[int], object]] = {
        "bytes": lambda key: table.bytes_received(key),
        "incomplete": lambda key: table.message_incomplete(key, now),
        "request": lambda key: table.request_started(key),
        "idle": lambda key: table.became_idle(key, now),
        "blocked": lambda key: table.write_paused(key, now),
        "unblocked": lambda key: table.write_resumed(key),
        "closed": lambda key: table.closed(key),
        "room": lambda key: table.evict(now),
        "overdue": lambda key: table.remove_timed_out(now),
    }
    for _ in range(CONNECTION_STEPS):
        now += draw.random() * draw.choice((0.0, 0.05, 0.4))
        step = draw.choice((*steps, "accepted", "accepted", "idle", "bytes"))
        if step == "accepted" or not keys:
            number += 1
            keys = [*keys[-30:], number]
            table.accepted(number, now)
            out.add("accepted", number)
        else:
            key = draw.choice(keys)
            out.add(step, key, steps[step](key))
        out.add(
            "connections", list(table.awaiting_first_byte.items()), list(table.receiving.items()),
            list(table.write_blocked.items()), list(table.idle.items()), table.evicted, table.timed_out,
        )  # fmt: skip


def descriptor_budget(draw: random.Random, out: Transcript) -> None:
    """Acquire and release descriptors for clients and endpoints."""
    budget = DescriptorBudget(draw.choice((0, 16, 40, 64, 256, 1024)))
    out.add("budget", budget.max_clients, budget.max_endpoints)
    for _ in range(BUDGET_STEPS):
        step = draw.choice(("accept", "accept", "close", "connect", "connect", "connect", "disconnect"))
        if step == "accept":
            out.add("accept", budget.client_accepted())
        elif step == "close" and budget.clients:
            budget.client_closed()
        elif step == "connect":
            out.add("connect", budget.acquire())
        elif step == "disconnect" and budget.endpoints:
            budget.release()
        out.add("in-use", budget.clients, budget.endpoints, budget.refused, budget.endpoints_nearly_exhausted)


def shutdown_schedule(draw: random.Random, out: Transcript) -> None:
    """Compute shutdown schedules and whether the process may exit around each of their times."""
    for _ in range(40):
        requested = draw.uniform(0.0, 1e5)
        schedule = ShutdownSchedule(requested, draw.choice((0.05, 0.5, 2.0, 3.0, 9.0, draw.random())))
        times = (
            schedule.accept_until,
            schedule.close_idle_from,
            schedule.drain_deadline,
            schedule.exit_deadline,
        )
        out.add("schedule", requested, times)
        for moment in (requested, *times, times[3] + 1.0):
            for listening, connections, pending in (
                (True, 0, 0),
                (False, 0, 0),
                (False, 2, 0),
                (False, 0, 1),
            ):
                out.add(
                    "over",
                    schedule.may_exit(moment, listening=listening, connections=connections, pending=pending),
                )


def _wire_object(draw: random.Random, revision: int) -> dict[str, object]:
    members: list[dict[str, object]] = [
        {
            "id": f's-{draw.randrange(99)}{draw.choice(("", chr(34), chr(92), "{", "é"))}',
            "host_port": draw.choice(("10.1.0.18:6432", "10.1.0.9:1", "10.1.0.9:0", "db:1", "10.1.0.300:5")),
            "locality": draw.choice("ab"),
            "cell": draw.randrange(5),
            "phase": draw.choice((*PHASES, *PHASES, *PHASES, "odd")),
            "size": draw.choice((1.0, 0.0, -1.0, 2.5, 1.0, 1.0, "big")),
            "up_since_ms": draw.choice((0, 0, 1_700_000_123_456, 5.5)),
            "access": draw.choice(("writer", "reader")),
        }
        for _ in range(draw.randrange(4))
    ]
    return {"revision": revision, "complete": draw.choice((True, False, None)), "members": members}


def _pieces(draw: random.Random, data: bytes) -> Iterable[bytes]:
    while data:
        size = draw.randrange(1, 80)
        yield data[:size]
        data = data[size:]


def stream_objects(draw: random.Random, out: Transcript) -> None:
    """Cut a stream into pieces, split it into objects and parse each; some are malformed."""
    text = ""
    for revision in range(STREAM_OBJECTS):
        text += json.dumps(_wire_object(draw, revision), indent=draw.choice((None, 1))) + draw.choice(
            ("\n", " \r\n\n")
        )
    splitter = JsonObjectSplitter()
    for piece in _pieces(draw, text.encode() + draw.choice((b"", b"[1]", b'{"open":'))):
        try:
            for data in splitter.feed(piece):
                try:
                    out.add("version", *_version(read_version(json.loads(data), WALL_S)))
                except MalformedListError as error:
                    out.add("malformed-object", str(error))
        except MalformedListError as error:
            out.add("malformed-stream", str(error))
            break
        out.add("partial", splitter.incomplete)


def _version(version: ListVersion) -> tuple[object, ...]:
    return (
        version.revision, version.complete,
        [
            (x.name, x.address, x.zone, x.group, x.state.name, x.size, x.started_at, x.primary)
            for x in version.entries
        ],
    )  # fmt: skip


PARTS = (
    watch_streams,
    list_versions,
    client_connections,
    descriptor_budget,
    shutdown_schedule,
    stream_objects,
)


def play(seed: int) -> Transcript:
    """Run all parts of one seed, each with its own random generator."""
    out = Transcript()
    for part in PARTS:
        part(random.Random(f"{part.__name__}/{seed}"), out)
    return out
