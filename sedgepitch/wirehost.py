"""Speak the wire on standard input and output for many routers; decide nothing.

Run as ``python -m sedgepitch.wirehost``. One line holds a batch of events, one line answers it. Unknown
events, fields and settings are skipped; a line that cannot be understood ends the run with a message.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from sedgepitch.settings import NUMBER, Wire, report, take, translate_settings
from sedgepitch.settings import BadSettings as WireError

STATE = {"U": api.EndpointState.UP, "L": api.EndpointState.DRAINING, "D": api.EndpointState.GONE}
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


def translate_entry(raw: Wire) -> api.EndpointEntry:
    """Turn one line of a member list into the policy's type."""
    where = "manifest.lines"
    state = take(raw, "state", str, where)
    if state not in STATE:
        raise WireError(f"{where}: field 'state' has an unknown value")
    return api.EndpointEntry(
        endpoint=take(raw, "member", int, where),
        group=raw.get("cluster", 0),
        state=STATE[state],
        zone=str(raw.get("locality", "")),
        primary=bool(raw.get("leader", 0)),
        size=raw.get("powerHint", 1.0) or 1.0,
        started=raw.get("cameUpS", 0.0) or 0.0,
    )


class Instance:
    """One router, its name on the wire, and the zero that its positions count from."""

    __slots__ = ("name", "router", "zero")

    def __init__(self, name: str, event: Wire) -> None:
        setup = take(event, "setup", dict, "hello")
        self.name = name
        self.zero = setup.get("specifics", {}).get("countedFromS", 0.0)
        try:
            self.router = Router(translate_settings(setup), take(event, "entropy", int, "hello"))
        except ValueError as error:
            raise WireError(f"hello: {error}") from None
        except (TypeError, AttributeError, KeyError):
            raise WireError("hello: field 'setup' holds a value of the wrong type") from None


def on_query(_: Instance, event: Wire) -> api.Event:
    """Translate a client's request."""
    return api.RequestReceived(
        request=take(event, "job", int, "query"),
        class_name=take(event, "qos", str, "query"),
        group=event.get("shard", 0),
        time_left=take(event, "ttlS", NUMBER, "query"),
        session=str(event.get("sess", "")),
        session_age=event.get("tokenAgeMs", 0.0) / 1000.0,
    )


def on_finished(instance: Instance, event: Wire) -> api.Event:
    """Translate the end of an attempt; a note carries role and position."""
    stamp = event.get("stamp", 0)
    role, millis = stamp % 4, stamp // 4
    return api.AttemptFinished(
        request=take(event, "job", int, "finished"),
        attempt=take(event, "hop", int, "finished"),
        endpoint=take(event, "member", int, "finished"),
        result=RESULT.get(take(event, "outcome", str, "finished"), api.AttemptResult.ERROR),
        elapsed=event.get("durationS", 0.0),
        final=bool(event.get("doneFlag", False)),
        primary={1: True, 2: False}.get(role),
        position=instance.zero + millis / 1000.0 if millis else None,
        report=report(event.get("feedback"), instance.zero),
    )


def on_status(instance: Instance, event: Wire) -> api.Event:
    """Translate what a probe found."""
    return api.HealthCheckFinished(
        endpoint=take(event, "member", int, "statusBack"),
        result=RESULT.get(take(event, "outcome", str, "statusBack"), api.AttemptResult.ERROR),
        elapsed=event.get("durationS", 0.0),
        report=report(event.get("feedback"), instance.zero),
    )


EVENTS: dict[str, Callable[[Instance, Wire], api.Event]] = {
    "query": on_query,
    "finished": on_finished,
    "statusBack": on_status,
    "tickDue": lambda _, e: api.TimerExpired(take(e, "nonce", int, "tickDue")),
    "left": lambda _, e: api.ClientDisconnected(take(e, "job", int, "left")),
}


def to_wire(name: str, action: api.Action) -> Wire:
    """Turn one action into its wire form."""
    match action:
        case api.SendAttempt(request, endpoint, timeout):
            return {
                "type": "attempt",
                "driver": name,
                "job": request,
                "member": endpoint,
                "maxWaitS": timeout,
            }
        case api.Reject(request, retry_after):
            return {"type": "refuse", "driver": name, "job": request, "holdOffS": retry_after}
        case api.Fail(request):
            return {"type": "dropRequest", "driver": name, "job": request}
        case api.CancelAttempt(request, attempt):
            return {"type": "recall", "driver": name, "job": request, "hop": attempt}
        case api.CheckHealth(endpoint):
            return {"type": "probe", "driver": name, "member": endpoint}
        case api.CloseIdleConnections(endpoint):
            return {"type": "shutIdle", "driver": name, "member": endpoint}
        case api.WatchEndpointList():
            return {"type": "keepInformed", "driver": name, "active": True}
        case api.SetTimer(after, nonce):
            return {"type": "remind", "driver": name, "afterS": after, "nonce": nonce}
        case api.LogMessage(text):
            return {"type": "noteDown", "driver": name, "what": text}
    raise AssertionError(f"no wire form for {action!r}")


class Host:
    """The routers of this process and the member lists that the wire numbers."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.known: set[str] = set()
        self.rosters: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def answer(self, line: str) -> str:
        """Answer one batch."""
        try:
            batch = json.loads(line)
        except (ValueError, RecursionError):
            raise WireError("the line is not JSON") from None
        if not isinstance(batch, dict):
            raise WireError("the line is not a JSON object")
        now = take(batch, "wallS", NUMBER, "batch")
        items = take(batch, "items", list, "batch")
        events: dict[str, list[api.Event]] = {}
        for item in items:
            if not isinstance(item, dict):
                raise WireError("items: an event is not an object")
            try:
                self.sort(item, events)
            except (TypeError, AttributeError, ValueError):
                raise WireError(f"{item.get('type')}: a field has the wrong type") from None
        cmds = [
            to_wire(name, action)
            for name, batch_events in events.items()
            for action in self.instances[name].router.handle(now, batch_events)
        ]
        return json.dumps({"batch": take(batch, "batch", int, "batch"), "cmds": cmds}, separators=(",", ":"))

    def sort(self, item: Wire, events: dict[str, list[api.Event]]) -> None:
        """Put one wire event with the instance it is for."""
        kind = take(item, "type", str, "items")
        if kind == "manifest":
            lines = take(item, "lines", list, "manifest")
            self.rosters[take(item, "rosterId", int, "manifest")] = tuple(translate_entry(e) for e in lines)
            return
        if kind not in EVENTS and kind not in ("hello", "sync", "killed"):
            return
        name = take(item, "driver", str, kind)
        if kind == "hello":
            self.instances[name] = Instance(name, item)
            self.known.add(name)
            events[name] = []
            return
        if kind == "killed":
            self.instances.pop(name, None)
            events.pop(name, None)
            return
        instance = self.instances.get(name)
        if instance is None:
            if name in self.known:
                return
            raise WireError(f"{kind}: unknown instance '{name}'")
        events.setdefault(name, []).append(
            self.sync(item) if kind == "sync" else EVENTS[kind](instance, item)
        )

    def sync(self, item: Wire) -> api.Event:
        """Translate a report of the member list."""
        how = take(item, "how", str, "sync")
        if how == "Error":
            return api.EndpointListFailed()
        number = take(item, "rosterId", int, "sync")
        if number not in self.rosters:
            raise WireError(f"sync: no manifest has the number {number}")
        return api.EndpointListUpdate(
            self.rosters[number], complete=how != "Partial", remembered=how == "Persisted"
        )


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    for line in source:
        if line.strip():
            sink.write(host.answer(line) + "\n")
            sink.flush()


def main() -> int:
    """Serve standard input; a broken line ends the run with one line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"sedgepitch: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
