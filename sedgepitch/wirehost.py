"""Serves many routers over a line protocol on standard input and output; makes no routing decisions.

Run as ``python -m sedgepitch.wirehost``. Each input line holds a batch of events and gets one output line.
Unknown events, fields and settings are ignored; an invalid line ends the run with a message.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO, assert_never

from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from sedgepitch.settings import (
    InvalidInputError,
    Wire,
    read_required,
    read_required_number,
    translate_load_report,
    translate_settings,
)

ENDPOINT_STATE = {"U": api.EndpointState.UP, "L": api.EndpointState.DRAINING, "D": api.EndpointState.GONE}
RESULT = {
    "delivered": api.AttemptResult.OK,
    "app_error": api.AttemptResult.ERROR,
    "shed": api.AttemptResult.OVERLOADED,
    "expired": api.AttemptResult.TIMEOUT,
    "dial_failed": api.AttemptResult.CONNECT_FAILED,
    "dropped": api.AttemptResult.RESET,
    "revoked": api.AttemptResult.CANCELLED,
    "unused": api.AttemptResult.NOT_SENT,
    "empty": api.AttemptResult.NOT_ELIGIBLE,
}
STAMP_ROLES = 4  # a stamp is the position in milliseconds times this, plus the role
STAMP_PRIMARY = {1: True, 2: False}  # role in a stamp to whether it is a primary's


def translate_entry(raw: Wire) -> api.EndpointEntry:
    """Translate one entry of an endpoint list; raises InvalidInputError."""
    where = "manifest.lines"
    state = read_required(raw, "state", str, where)
    if state not in ENDPOINT_STATE:
        raise InvalidInputError(f"{where}: field 'state' has an unknown value")
    return api.EndpointEntry(
        endpoint=read_required(raw, "member", int, where),
        group=raw.get("cluster", 0),
        state=ENDPOINT_STATE[state],
        zone=str(raw.get("locality", "")),
        primary=bool(raw.get("leader", 0)),
        size=raw.get("powerHint", 1.0) or 1.0,
        started=raw.get("cameUpS", 0.0) or 0.0,
    )


class Instance:
    """One router, its name on the wire, and the origin of its positions."""

    __slots__ = ("name", "positions_counted_from", "router")

    def __init__(self, name: str, event: Wire) -> None:
        """Create the router from its `hello` event; raises InvalidInputError."""
        setup = read_required(event, "setup", dict, "hello")
        self.name = name
        self.positions_counted_from = setup.get("specifics", {}).get("countedFromS", 0.0)
        try:
            self.router = Router(translate_settings(setup), read_required(event, "entropy", int, "hello"))
        except ValueError as error:
            raise InvalidInputError(f"hello: {error}") from None
        except (TypeError, AttributeError, KeyError):
            raise InvalidInputError("hello: field 'setup' holds a value of the wrong type") from None


def translate_query(_: Instance, event: Wire) -> api.Event:
    """Translate a client's request."""
    return api.RequestReceived(
        request=read_required(event, "job", int, "query"),
        class_name=read_required(event, "qos", str, "query"),
        group=event.get("shard", 0),
        time_left=read_required_number(event, "ttlS", "query"),
        session=str(event.get("sess", "")),
        session_age=event.get("tokenAgeMs", 0.0) / 1000.0,
    )


def translate_finished(instance: Instance, event: Wire) -> api.Event:
    """Translate the end of an attempt; its stamp encodes role and position."""
    stamp = event.get("stamp", 0)
    millis, role = divmod(stamp, STAMP_ROLES)
    return api.AttemptFinished(
        request=read_required(event, "job", int, "finished"),
        attempt=read_required(event, "hop", int, "finished"),
        endpoint=read_required(event, "member", int, "finished"),
        result=RESULT.get(read_required(event, "outcome", str, "finished"), api.AttemptResult.ERROR),
        elapsed=event.get("durationS", 0.0),
        final=bool(event.get("doneFlag", False)),
        primary=STAMP_PRIMARY.get(role),
        position=instance.positions_counted_from + millis / 1000.0 if millis else None,
        report=translate_load_report(event.get("feedback"), instance.positions_counted_from),
    )


def translate_health_check(instance: Instance, event: Wire) -> api.Event:
    """Translate the result of a health check."""
    return api.HealthCheckFinished(
        endpoint=read_required(event, "member", int, "statusBack"),
        result=RESULT.get(read_required(event, "outcome", str, "statusBack"), api.AttemptResult.ERROR),
        elapsed=event.get("durationS", 0.0),
        report=translate_load_report(event.get("feedback"), instance.positions_counted_from),
    )


EVENTS: dict[str, Callable[[Instance, Wire], api.Event]] = {
    "query": translate_query,
    "finished": translate_finished,
    "statusBack": translate_health_check,
    "tickDue": lambda _, e: api.TimerExpired(read_required(e, "nonce", int, "tickDue")),
    "left": lambda _, e: api.ClientDisconnected(read_required(e, "job", int, "left")),
}


def to_wire(name: str, action: api.Action) -> Wire:
    """Return the wire form of an action of the instance `name`."""
    match action:
        case api.SendAttempt(request, endpoint, timeout):
            wire = {
                "type": "attempt",
                "driver": name,
                "job": request,
                "member": endpoint,
                "maxWaitS": timeout,
            }
        case api.Reject(request, retry_after):
            wire = {"type": "refuse", "driver": name, "job": request, "holdOffS": retry_after}
        case api.Fail(request):
            wire = {"type": "dropRequest", "driver": name, "job": request}
        case api.CancelAttempt(request, attempt):
            wire = {"type": "recall", "driver": name, "job": request, "hop": attempt}
        case api.CheckHealth(endpoint):
            wire = {"type": "probe", "driver": name, "member": endpoint}
        case api.CloseIdleConnections(endpoint):
            wire = {"type": "shutIdle", "driver": name, "member": endpoint}
        case api.WatchEndpointList():
            wire = {"type": "keepInformed", "driver": name, "active": True}
        case api.SetTimer(after, nonce):
            wire = {"type": "remind", "driver": name, "afterS": after, "nonce": nonce}
        case api.LogMessage(text):
            wire = {"type": "noteDown", "driver": name, "what": text}
        case _:
            assert_never(action)
    return wire


class Host:
    """The routers of this process, and the endpoint lists by their number on the wire."""

    def __init__(self) -> None:
        """Start without instances."""
        self.instances: dict[str, Instance] = {}
        self.known_names: set[str] = set()  # also of removed instances
        self.endpoint_lists: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def answer(self, line: str) -> str:
        """Return the answer to one batch; raises InvalidInputError."""
        try:
            batch = json.loads(line)
        except (ValueError, RecursionError):
            raise InvalidInputError("the line is not JSON") from None
        if not isinstance(batch, dict):
            raise InvalidInputError("the line is not a JSON object")
        now = read_required_number(batch, "wallS", "batch")
        items = read_required(batch, "items", list, "batch")
        events: dict[str, list[api.Event]] = {}
        for item in items:
            if not isinstance(item, dict):
                raise InvalidInputError("items: an event is not an object")
            try:
                self.sort_event(item, events)
            except (TypeError, AttributeError, ValueError):
                raise InvalidInputError(f"{item.get('type')}: a field has the wrong type") from None
        cmds = [
            to_wire(name, action)
            for name, batch_events in events.items()
            for action in self.instances[name].router.handle(now, batch_events)
        ]
        return json.dumps(
            {"batch": read_required(batch, "batch", int, "batch"), "cmds": cmds}, separators=(",", ":")
        )

    def sort_event(self, item: Wire, events: dict[str, list[api.Event]]) -> None:
        """Store a list, create or remove an instance, or add the event to those of its instance.

        Unknown events and events for a removed instance are ignored. Raises InvalidInputError.
        """
        kind = read_required(item, "type", str, "items")
        if kind == "manifest":
            self.store_list(item)
            return
        if kind not in EVENTS and kind not in ("hello", "sync", "killed"):
            return
        name = read_required(item, "driver", str, kind)
        if kind == "hello":
            self.instances[name] = Instance(name, item)
            self.known_names.add(name)
            events[name] = []
            return
        if kind == "killed":
            self.instances.pop(name, None)
            events.pop(name, None)
            return
        instance = self.instances.get(name)
        if instance is None:
            if name in self.known_names:
                return
            raise InvalidInputError(f"{kind}: unknown instance '{name}'")
        events.setdefault(name, []).append(
            self.translate_list(item) if kind == "sync" else EVENTS[kind](instance, item)
        )

    def store_list(self, item: Wire) -> None:
        """Store a numbered endpoint list, to which later events refer; raises InvalidInputError."""
        lines = read_required(item, "lines", list, "manifest")
        entries = tuple(translate_entry(line) for line in lines)
        self.endpoint_lists[read_required(item, "rosterId", int, "manifest")] = entries

    def translate_list(self, item: Wire) -> api.Event:
        """Translate an update of the endpoint list; raises InvalidInputError."""
        how = read_required(item, "how", str, "sync")
        if how == "Error":
            return api.EndpointListFailed()
        number = read_required(item, "rosterId", int, "sync")
        if number not in self.endpoint_lists:
            raise InvalidInputError(f"sync: no manifest has the number {number}")
        return api.EndpointListUpdate(
            self.endpoint_lists[number], complete=how != "Partial", remembered=how == "Persisted"
        )


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until end of input."""
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.answer(line) + "\n")
            sink.flush()


def main() -> int:
    """Serve standard input; an invalid line ends the run with one line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except (InvalidInputError, UnicodeDecodeError) as error:
        print(f"sedgepitch: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
