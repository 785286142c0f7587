"""Zones on a running proxy: publish digests, receive those of peers, and feed weights to the router.

The decision logic is in `decisions/zones`. This module has the timer, the state entries and the interface to
the engine.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.actions import MemberEvent
from sedgepitch.decisions.gossip.messages import MemberState
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.zones import digests
from sedgepitch.decisions.zones.controller import ZoneController
from sedgepitch.decisions.zones.digests import MAX_ZONE_NAME_LENGTH, ZoneDigest
from sedgepitch.decisions.zones.evidence import DIGEST_MAX_AGE_S, ReceivedDigest, ZoneView
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.states import ZoneState, ZoneTransition
from sedgepitch.decisions.zones.votes import Vote, partial_outages, votes
from sedgepitch.peers import entry_kinds
from sedgepitch.peers.service import PeerService
from sedgepitch.peers.zone_commands import CommandExchange
from sedgepitch.peers.zone_evidence_log import evidence_fields, instance_votes
from sedgepitch.peers.zone_observer import ZoneObserver
from sedgepitch.peers.zone_status import zone_status
from sedgepitch.routing.messages import ZoneWeights

CHECK_INTERVAL_S = 0.1  # between checks of this instance's observations
PUBLISH_INTERVAL_MIN_S = 0.2  # between two digests of this instance
COMMANDS_INTERVAL_S = 3.0  # between publications of known commands, so that new instances have them
IDLE_STEP_INTERVAL_S = 1.0  # between controller steps while nothing changes
PAUSE_THRESHOLD_S = 0.5  # a check later than this shows that the process was suspended
UNFIT_AFTER_PAUSE_S = 2.0  # how long this instance does not vote after a suspension
HEARTBEAT_INTERVAL_S = 3.0  # between digests while nothing changes
RATE_DIGITS = 2
WEIGHT_DIGITS = 4
LOG_SHARE_DIGITS = 3
LOG_TIME_DIGITS = 4


@dataclass(slots=True, frozen=True)
class _DecodedEntry:
    """The last digest of a peer, cached so that it is decoded once; `digest` is None if it is invalid."""

    body: bytes
    digest: ZoneDigest | None


@dataclass(slots=True, frozen=True)
class _PublishedContent:
    """The part of a digest whose change causes publication without waiting for the heartbeat."""

    may_judge: bool
    votes: dict[str, Vote]
    unreachable_bits: list[tuple[str, int]]  # of zones with a partial outage
    statuses: list[tuple[str, int, int]]  # zone, state and share


def _content(digest: ZoneDigest) -> _PublishedContent:
    partial = partial_outages(digest)
    return _PublishedContent(
        digest.may_judge,
        votes(digest),
        [(row.zone, row.unreachable_bits) for row in digest.observations if row.zone in partial],
        [(status.zone, status.state, status.share_permille) for status in digest.statuses],
    )


def _ignore_log(event: str, **fields: object) -> None:
    """Discard a log event."""


class ZoneService:
    """The zones of one instance. Feeds `ZoneWeights` to the engine when they change."""

    def __init__(
        self,
        engine: Engine,
        peers: PeerService,
        clock: Clock,
        zone: str,
        settings: ZoneSettings,
        heartbeat_interval: float = HEARTBEAT_INTERVAL_S,
        log: Callable[..., None] = _ignore_log,
    ) -> None:
        """Attach to the engine; `start` begins the periodic check."""
        self.zone = zone[:MAX_ZONE_NAME_LENGTH]
        self.name = peers.settings.name
        self.observer = ZoneObserver(engine, clock)
        self.controller = ZoneController(self.name, settings)
        self.commands = CommandExchange(peers, clock, log)
        self.own = ZoneDigest(self.zone, 0.0, False)
        self.invalid_digests = 0
        self._engine = engine
        self._peers = peers
        self._clock = clock
        self._log = log
        self._heartbeat_interval = heartbeat_interval
        self._decoded: dict[str, _DecodedEntry] = {}
        self._weights: dict[str, float] = {}
        self._published: _PublishedContent | None = None
        self._published_at = -DIGEST_MAX_AGE_S
        self._logged_votes: dict[str, str] = {}
        self._stepped_at = -DIGEST_MAX_AGE_S
        self._checked_at = clock.now()
        self._unfit_until = 0.0
        self._has_updates = True  # a peer event or a command has arrived since the last step
        self._stopped = False
        self.observer.attach()

    def start(self) -> None:
        """Start the periodic check."""
        self._checked_at = self._clock.now()
        self._clock.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stop the periodic check; the weights stay as they are."""
        self._stopped = True
        self.observer.detach()

    def on_peer_event(self, _event: MemberEvent) -> None:
        """Note that a peer's state or one of its state entries has changed."""
        self._has_updates = True

    def take_command(self, sealed: bytes) -> dict[str, object]:
        """Accept an operator command sealed with a known key. Raises InvalidCommandError."""
        command = self.commands.accept(sealed, list(self.observer.zone_sizes()))
        self._has_updates = True
        return {"zone": command.zone, "number": command.number, "by": command.issuer}

    def status(self) -> dict[str, object]:
        """Return the zones, the received digests and the commands, for operators."""
        return zone_status(self, self._peers.node, self._clock.now())

    # The periodic check

    def _check(self) -> None:
        if self._stopped:
            return
        self._clock.call_later(CHECK_INTERVAL_S, self._check)
        now = self._clock.now()
        after_pause = now - self._checked_at > PAUSE_THRESHOLD_S
        self._checked_at = now
        if after_pause:  # after a suspension the counts are stale, and this instance must not vote
            self.observer.observations.forget(now)
            self._unfit_until = now + UNFIT_AFTER_PAUSE_S
        self.own = self._digest(now)
        content = _content(self.own)
        changed = content != self._published
        idle = now - self._stepped_at >= IDLE_STEP_INTERVAL_S
        if self._has_updates or changed or self._any_not_normal() or after_pause or idle:
            self._step(now, after_pause)
        if now - self._published_at >= (PUBLISH_INTERVAL_MIN_S if changed else self._heartbeat_interval):
            self._log_own_votes(now)
            self._published = content
            self._published_at = now
            self._peers.publish(entry_kinds.ZONE_DIGEST, digests.encode(self.own))
        if self.commands.commands.by_zone and now - self.commands.published_at >= COMMANDS_INTERVAL_S:
            self.commands.publish()

    def _log_own_votes(self, now: float) -> None:
        """Log this instance's votes on the zones if they have changed."""
        own_votes = instance_votes(self.own)
        if own_votes != self._logged_votes:
            self._logged_votes = own_votes
            score = self._peers.node.health.score if self._peers.node is not None else 0
            self._log(
                "zone.votes_changed", votes=own_votes, local_health=score, at=round(now, LOG_TIME_DIGITS)
            )

    def _any_not_normal(self) -> bool:
        return any(zone.state is not ZoneState.NORMAL for zone in self.controller.zones.values())

    def _digest(self, now: float) -> ZoneDigest:
        partly_used = [zone.name for zone in self.controller.zones.values() if zone.share < 1.0]
        rows = self.observer.rows(now, partly_used)
        request_rate = round(self.observer.observations.request_rate, RATE_DIGITS)
        statuses = self.controller.statuses(now)
        return ZoneDigest(self.zone, request_rate, self._may_judge(now), rows, statuses)

    def _may_judge(self, now: float) -> bool:
        """Return whether this instance may vote: not just resumed, healthy, and not overloaded."""
        node = self._peers.node
        unhealthy = node is not None and node.health.score >= node.settings.max_local_health // 2
        overloaded = self._engine.process_limit.overloaded_at(now)
        return now >= self._unfit_until and not unhealthy and not overloaded

    # Controller step

    def _step(self, now: float, after_pause: bool) -> None:
        self._stepped_at = now
        self._has_updates = False
        node = self._peers.node
        if node is None:
            return
        alive = {m.name for m in node.members.values() if m.state is MemberState.ALIVE}
        received = self._receive(node, now, alive)
        self.commands.merge(node, now)
        leave_commands = self.commands.commands.leave_commands()
        sizes = self.observer.zone_sizes()
        view = ZoneView(now, self.own, received, sizes, leave_commands, after_pause, 1 + len(alive))
        weights = {zone: round(share, WEIGHT_DIGITS) for zone, share in self.controller.step(view).items()}
        for transition in self.controller.take_transitions():
            self._on_transition(view, node, transition)
        if weights != self._weights:
            self._weights = weights
            self._engine.feed(ZoneWeights(tuple(sorted(weights.items()))))

    def _receive(self, node: GossipNode, now: float, alive: set[str]) -> dict[str, ReceivedDigest]:
        """Return the digests of alive peers; each is decoded once."""
        received: dict[str, ReceivedDigest] = {}
        for name, entry in node.entries_of_kind(entry_kinds.ZONE_DIGEST, now).items():
            if name == self.name or name not in alive:
                continue
            decoded = self._decoded.get(name)
            if decoded is None or decoded.body != entry.body:
                decoded = self._decoded[name] = _DecodedEntry(entry.body, digests.decode(entry.body))
                self.invalid_digests += decoded.digest is None
            if decoded.digest is not None:
                received[name] = ReceivedDigest(entry.age, decoded.digest)
        for name in [name for name in self._decoded if name not in node.members]:
            del self._decoded[name]
        return received

    def _on_transition(self, view: ZoneView, node: GossipNode, transition: ZoneTransition) -> None:
        if transition.state is ZoneState.RETURNING:
            self.observer.observations.forget_zone(transition.zone)
        zone = self.controller.zones.get(transition.zone)
        if zone is None:
            return
        at = round(view.now, LOG_TIME_DIGITS)
        self._log(
            "zone.state_changed",
            zone=zone.name,
            state=transition.state.name.lower(),
            share=round(zone.share, LOG_SHARE_DIGITS),
            reason=zone.reason,
            at=at,
        )
        self._log("zone.evidence", at=at, **evidence_fields(view, node, zone.name))
