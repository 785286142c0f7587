"""Operator commands on zones: accepted here, published to all instances, and merged with theirs."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from math import inf

from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.zones import operator_commands
from sedgepitch.decisions.zones.operator_commands import (
    CommandAction,
    InvalidCommandError,
    ZoneCommand,
    ZoneCommands,
)
from sedgepitch.peers import entry_kinds
from sedgepitch.peers.keys import AuthenticationError
from sedgepitch.peers.service import PeerService

NONCE_BYTES = 16
MAX_NONCES = 16  # valid at the same time
NONCE_LIFETIME_S = 30.0
MAX_REASON_CHARACTERS = 200


class CommandExchange:
    """The commands known to this instance, and the nonces that new commands must carry."""

    def __init__(self, peers: PeerService, clock: Clock, log: Callable[..., None]) -> None:
        """Start without commands."""
        self.commands = ZoneCommands()
        self.published_at = -inf
        self._peers = peers
        self._clock = clock
        self._log = log
        self._received: dict[str, bytes] = {}  # the last state entry of each peer, to decode each only once
        self._nonces: dict[str, float] = {}  # nonce -> time of issue

    def new_nonce(self) -> str:
        """Issue a nonce for one command, so that an intercepted command cannot be replayed."""
        now = self._clock.now()
        self._nonces = {
            n: issued_at for n, issued_at in self._nonces.items() if now - issued_at <= NONCE_LIFETIME_S
        }
        while len(self._nonces) >= MAX_NONCES:
            del self._nonces[next(iter(self._nonces))]
        nonce = secrets.token_hex(NONCE_BYTES)
        self._nonces[nonce] = now
        return nonce

    def accept(self, sealed: bytes, zones: list[str]) -> ZoneCommand:
        """Accept a command sealed with a known key; a leave command must name one of `zones`.

        Raises InvalidCommandError.
        """
        zone, action, duration = self._open(sealed)
        if action == CommandAction.LEAVE and zone not in zones:
            names = ", ".join(zones) or "none"
            raise InvalidCommandError(f"no member of a zone '{zone}' is up; there are {names}")
        command = self.commands.issue(zone, action, duration, self._peers.settings.name)
        fields = {"action": action, "duration_s": duration, "number": command.number}
        self._log("zone.command_accepted", zone=zone, **fields)
        self.publish()
        return command

    def merge(self, node: GossipNode, now: float) -> None:
        """Merge the commands that peers have published, and publish the result if it has changed."""
        changed = False
        for name, entry in node.entries_of_kind(entry_kinds.ZONE_COMMANDS, now).items():
            if name != node.name and self._received.get(name) != entry.body:
                self._received[name] = entry.body
                changed = self.commands.merge(operator_commands.decode(entry.body)) or changed
        for name in [name for name in self._received if name not in node.members]:
            del self._received[name]
        if changed:
            known = [f"{command.action} {command.zone}" for command in self.commands.by_zone.values()]
            self._log("zone.commands_merged", commands=known)
            self.publish()

    def publish(self) -> None:
        """Publish all known commands."""
        self.published_at = self._clock.now()
        self._peers.publish(entry_kinds.ZONE_COMMANDS, operator_commands.encode(self.commands))

    def _open(self, sealed: bytes) -> tuple[str, str, float]:
        """Return zone, action and duration of an authentic command with a valid nonce."""
        try:
            fields = json.loads(self._peers.authenticator.open(sealed))
            nonce = str(fields["number"])
            self._use_nonce(nonce)
            return str(fields["zone"]), str(fields["what"]), float(fields.get("within", 0.0))
        except AuthenticationError as error:
            raise InvalidCommandError(str(error)) from None
        except InvalidCommandError:
            raise
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            raise InvalidCommandError(f"no order: {error!r}"[:MAX_REASON_CHARACTERS]) from None

    def _use_nonce(self, nonce: str) -> None:
        issued_at = self._nonces.pop(nonce, None)
        if issued_at is None or self._clock.now() - issued_at > NONCE_LIFETIME_S:
            raise InvalidCommandError("the order's number is not one that was given out, or it is too old")
