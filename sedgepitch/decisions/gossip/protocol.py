"""Who of the fleet's drivers lives, and what each has told: gossip with suspicion, pure.

After SWIM (Das, Gupta, Motivala 2002): one peer is probed a period, in a shuffled round; who does not
answer is probed by helpers, then suspected, and dead only when nobody refuted that in time; all news rides
on probes. After Lifeguard (Dadgar et al. 2018): a peer that is slow itself judges more slowly (`awareness`),
a suspicion needs several accusers or more time, and the suspected is told first.

Time and chance are passed in; nothing here reads a clock or a socket. Times are seconds on the own monotonic
clock. Ages travel as ages: a word is sent on with the time that it was held added, so no two clocks are
compared.

A turn that comes late (this process was frozen, or starved) accuses nobody: probes under way are dropped,
and suspicions start their time anew by as much as was slept.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, log, log10

from msgspec import Struct
from msgspec.structs import replace

Address = tuple[str, int]
NEVER = float("inf")


class Life(IntEnum):
    """What is held of a peer; of equal incarnation the higher one counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """Paces and bounds. Times in seconds, sizes in bytes."""

    period: float = 0.25  # between probes
    answer_within: float = 0.1  # before helpers are asked
    helpers: int = 3
    spread_every: float = 0.1  # between sendings of news, while there is any
    spread_to: int = 3
    repeat: int = 4  # times the rounded up log10 of the fleet: how often each piece of news is sent
    suspicion: float = 4.0  # times log10 of the fleet times the period: the shortest time to refute
    suspicion_most: float = 4.0  # times the shortest, while there is one accuser
    accusers: int = 3  # independent ones that make it the shortest
    awareness_most: int = 8
    sync_every: float = 15.0
    rejoin_every: float = 1.0  # while some are held for dead: a cut may have healed
    asleep_after: float = 0.5  # a turn later than this finds a process that slept
    forget_after: float = 60.0  # since somebody was found dead
    most_peers: int = 1024
    most_kinds: int = 8  # of words from one peer
    most_body: int = 512
    most_relayed: int = 256  # probes made for others
    room: int = 1100  # of a datagram, for news
    most_name: int = 64

    def __post_init__(self) -> None:
        """Say plainly which setting cannot be used."""
        for name in ("period", "answer_within", "spread_every", "sync_every", "asleep_after"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")
        if self.answer_within >= self.period:
            raise ValueError("answer_within must be shorter than the period")


# What is sent


class Rumour(Struct, frozen=True, array_like=True):
    """What is said of one peer; `by` is who suspected it."""

    name: str
    host: str
    port: int
    incarnation: int
    life: int
    by: str = ""


class Word(Struct, frozen=True, array_like=True):
    """What a peer says for itself, of one kind; the higher version counts. `age` is in seconds."""

    origin: str
    kind: str
    version: int
    age: float
    body: bytes


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Do you live? Answered by an Ack."""

    seq: int
    rumours: tuple[Rumour, ...] = ()
    words: tuple[Word, ...] = ()


class Ask(Struct, frozen=True, array_like=True, tag=2):
    """Ping this peer for me."""

    seq: int
    about: str
    rumours: tuple[Rumour, ...] = ()
    words: tuple[Word, ...] = ()


class Ack(Struct, frozen=True, array_like=True, tag=3):
    """It lives."""

    seq: int
    rumours: tuple[Rumour, ...] = ()
    words: tuple[Word, ...] = ()


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """It did not answer me either, but I live."""

    seq: int


class Tell(Struct, frozen=True, array_like=True, tag=5):
    """News alone."""

    rumours: tuple[Rumour, ...] = ()
    words: tuple[Word, ...] = ()


Message = Ping | Ask | Ack | Nack | Tell


class State(Struct, frozen=True, array_like=True):
    """All that is held; it goes by a stream."""

    rumours: tuple[Rumour, ...] = ()
    words: tuple[Word, ...] = ()


# What is to be done


@dataclass(slots=True, frozen=True)
class Say:
    """Send a datagram."""

    to: str
    address: Address
    message: Message


@dataclass(slots=True, frozen=True)
class Sync:
    """Exchange whole states over a stream."""

    address: Address


@dataclass(slots=True, frozen=True)
class Knock:
    """Ask over a stream whether a peer lives; `knocked` hears of an answer."""

    to: str
    address: Address


Action = Say | Sync | Knock


# What is held


@dataclass(slots=True)
class Peer:
    """One peer as held here. `since` is when its life last changed."""

    name: str
    address: Address
    incarnation: int
    life: Life
    since: float
    accusers: set[str] = field(default_factory=set)
    words: dict[str, Held] = field(default_factory=dict)


@dataclass(slots=True)
class Held:
    """A word, and when it was said, on the own clock."""

    version: int
    born: float
    body: bytes


@dataclass(slots=True)
class _Probe:
    target: str
    seq: int
    helpers_at: float
    until: float
    asked: int = 0
    refused: int = 0


class Gossip:
    """One peer's part. Every method takes the time and returns what to do; `due` says when to call `turn`."""

    def __init__(
        self, settings: GossipSettings, name: str, address: Address, seeds: Iterable[Address], seed: int
    ) -> None:
        if not 0 < len(name) <= settings.most_name:
            raise ValueError(f"a peer's name needs 1 to {settings.most_name} characters")
        self.settings, self.name, self.address = settings, name, address
        self.seeds = list(seeds)
        self.random = random.Random(seed)
        self.incarnation, self.refuted_at = 0, -NEVER
        self.peers: dict[str, Peer] = {}
        self.routes: dict[str, Address] = {}  # where a peer is reached from here, whatever it says itself
        self.words: dict[str, Held] = {}
        self.awareness = 0
        self.changes: list[tuple[str, str]] = []  # (what, name) since the owner looked
        self.sleeps = self.refused = self.suspicions = self.deaths = 0
        self._floors: dict[str, int] = {}  # versions that a former life of this name has told
        self._news: dict[tuple[str, str], int] = {}  # how often each piece has been sent
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[str, int, float]] = {}  # own number of a probe made for another
        self._seq = self.random.getrandbits(24)
        self._probe_at = self._sync_at = self._spread_at = -NEVER
        self._due = -NEVER
        self._leaving = False

    # Views

    def alive(self) -> list[str]:
        """Names of those that are not known to be gone, this one included, in order."""
        return sorted([self.name, *(p.name for p in self.peers.values() if p.life <= Life.SUSPECT)])

    def address_of(self, name: str) -> Address | None:
        """Where a peer is reached from here."""
        if name in self.routes:
            return self.routes[name]
        peer = self.peers.get(name)
        return peer.address if peer else None

    def heard_of(self, kind: str, now: float) -> dict[str, tuple[float, bytes]]:
        """The words of one kind by origin, each with its age; the living alone, own ones included."""
        found = {
            p.name: (now - held.born, held.body)
            for p in self.peers.values()
            if p.life <= Life.SUSPECT and (held := p.words.get(kind)) is not None
        }
        if (own := self.words.get(kind)) is not None:
            found[self.name] = (now - own.born, own.body)
        return found

    def due(self) -> float:
        """When `turn` is to be called."""
        times = [self._probe_at, self._sync_at, self._spread_at if self._news else NEVER]
        if self._probe is not None:
            times.append(self._probe.helpers_at if not self._probe.asked else self._probe.until)
        times += [until for _, _, until in self._relayed.values()]
        times += [p.since + self.patience(p) for p in self.peers.values() if p.life is Life.SUSPECT]
        self._due = min(times)
        return self._due

    def lateness(self, now: float) -> float:
        """How long ago the turn that is due should have been; 0 before the first."""
        return max(0.0, now - self._due) if self._due > -NEVER else 0.0

    def patience(self, peer: Peer) -> float:
        """How long a suspicion waits to be refuted: the shorter, the more accusers are independent."""
        least = self.settings.suspicion * max(1.0, log10(max(1, len(self.peers)))) * self.settings.period
        most = least * self.settings.suspicion_most
        share = log(1 + max(0, len(peer.accusers) - 1)) / log(1 + self.settings.accusers)
        return max(least, most - (most - least) * share)

    # Events

    def tell(self, now: float, kind: str, body: bytes) -> None:
        """Say something for oneself; the last of a kind counts. Raises ValueError where it is too large."""
        settings = self.settings
        if len(body) > settings.most_body or len(kind) > settings.most_name:
            raise ValueError(f"a word of {len(body)} bytes is over {settings.most_body}")
        if kind not in self.words and len(self.words) >= settings.most_kinds:
            raise ValueError(f"more than {settings.most_kinds} kinds of words")
        held = self.words.get(kind)
        version = max(held.version if held else self._floors.get(kind, 0), self.incarnation << 32) + 1
        self.words[kind] = Held(version, now, body)
        self._spread(now, self.name, kind)

    def turn(self, now: float) -> list[Action]:
        """Do what has come due."""
        self._wake(now)
        actions: list[Action] = []
        self._end_probes(now, actions)
        self._end_suspicions(now)
        if now >= self._probe_at:
            self._next_probe(now, actions)
        if now >= self._sync_at:
            self._next_sync(now, actions)
        if self._news and now >= self._spread_at:
            self._spread_at = now + self.settings.spread_every
            for peer in self._some(self.settings.spread_to, ()):
                self._say(now, peer, Tell(), actions)
        self.due()
        return actions

    def heard(self, now: float, sender: str, message: Message) -> list[Action]:
        """Take a datagram that verified, and answer it."""
        self._wake(now)
        actions: list[Action] = []
        if sender == self.name:
            return actions
        if not isinstance(message, Nack):
            self._take(now, message.rumours, message.words, sender)
        match message:
            case Ping():
                self._say(now, sender, Ack(message.seq), actions)
            case Ask():
                self._help(now, sender, message, actions)
            case Ack():
                self._acked(now, message.seq, actions)
            case Nack():
                if self._probe is not None and message.seq == self._probe.seq:
                    self._probe.refused += 1
        self.due()
        return actions

    def state(self, now: float) -> State:
        """All that is held here, to be sent whole."""
        rumours = [self._own(), *(self._rumour(p) for p in self.peers.values())]
        words = [self._word(now, self.name, kind, held) for kind, held in self.words.items()]
        words += [
            self._word(now, p.name, kind, held)
            for p in self.peers.values()
            if p.life <= Life.SUSPECT
            for kind, held in p.words.items()
        ]
        return State(tuple(rumours), tuple(words))

    def merge(self, now: float, state: State, sender: str) -> list[Action]:
        """Take another's whole state."""
        self._wake(now)
        # What a peer holds as dead is only suspected here: it may be the one that is cut off.
        rumours = [
            replace(r, life=int(Life.SUSPECT), by=sender) if r.life == Life.DEAD else r for r in state.rumours
        ]
        self._take(now, rumours, state.words, sender)
        self.due()
        return []

    def knocked(self, now: float, name: str) -> None:
        """A peer has answered over a stream."""
        self._wake(now)
        if self._probe is not None and self._probe.target == name:
            self._probe = None
            self._aware(-1)
        self.due()

    def leave(self, now: float) -> list[Action]:
        """Say goodbye to a few; the others hear it from them."""
        self._leaving = True
        self.incarnation += 1
        own = replace(self._own(), life=int(Life.LEFT))
        return [
            Say(name, address, Tell((own,)))
            for name in self._some(2 * self.settings.spread_to, ())
            if (address := self.address_of(name)) is not None
        ]

    # Probes

    def _next_probe(self, now: float, actions: list[Action]) -> None:
        scale = 1 + self.awareness
        self._probe_at = now + self.settings.period * scale
        if self._probe is not None:
            return
        target = self._next_target()
        if target is None:
            return
        self._seq += 1
        wait = self.settings.answer_within * scale
        self._probe = _Probe(target, self._seq, now + wait, now + self.settings.period * scale)
        self._say(now, target, Ping(self._seq), actions)

    def _next_target(self) -> str | None:
        """The next of a shuffled round, so that each is probed within two rounds."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                if name in self.peers and self.peers[name].life <= Life.SUSPECT:
                    return name
            self._round = [p.name for p in self.peers.values() if p.life <= Life.SUSPECT]
            self.random.shuffle(self._round)
        return None

    def _end_probes(self, now: float, actions: list[Action]) -> None:
        probe = self._probe
        if probe is not None and not probe.asked and now >= probe.helpers_at:
            helpers = self._some(self.settings.helpers, (probe.target,))
            probe.asked = max(1, len(helpers))
            for helper in helpers:
                self._say(now, helper, Ask(probe.seq, probe.target), actions)
            if (address := self.address_of(probe.target)) is not None:
                actions.append(Knock(probe.target, address))  # lost datagrams are no dead peer
            if not helpers:
                probe.refused = 1  # nobody to ask, so nobody's silence tells of this peer itself
        if probe is not None and now >= probe.until:
            self._probe = None
            # Helpers that say nothing at all: more likely it is this peer that hears nothing.
            self._aware(max(0, probe.asked - probe.refused))
            if (peer := self.peers.get(probe.target)) is not None and peer.life <= Life.SUSPECT:
                self._suspect(now, peer, self.name)
                if (address := self.address_of(peer.name)) is not None:
                    actions.append(Sync(address))  # where it lives it hears of it so, and refutes
        for seq, (asker, their, until) in list(self._relayed.items()):
            if now >= until:
                del self._relayed[seq]
                self._say(now, asker, Nack(their), actions)

    def _help(self, now: float, asker: str, ask: Ask, actions: list[Action]) -> None:
        if len(self._relayed) >= self.settings.most_relayed or ask.about not in self.peers:
            return
        self._seq += 1
        self._relayed[self._seq] = (asker, ask.seq, now + self.settings.answer_within)
        self._say(now, ask.about, Ping(self._seq), actions)

    def _acked(self, now: float, seq: int, actions: list[Action]) -> None:
        if (relayed := self._relayed.pop(seq, None)) is not None:
            asker, their, _ = relayed
            self._say(now, asker, Ack(their), actions)
        elif self._probe is not None and seq == self._probe.seq:
            self._probe = None
            self._aware(-1)

    def _aware(self, by: int) -> None:
        self.awareness = max(0, min(self.settings.awareness_most, self.awareness + by))

    def _wake(self, now: float) -> None:
        """Find out whether this process slept, before anything that came meanwhile is judged.

        Guards against a process that was frozen and takes its own silence for others': what was under way is
        too old to judge by, and what others must refute gets its time anew. May hurt: detection waits.
        """
        late = self.lateness(now)
        if late <= self.settings.asleep_after:
            return
        self._due = now
        self.sleeps += 1
        self._probe = None
        self._relayed.clear()
        self._aware(2)
        for peer in self.peers.values():
            if peer.life is Life.SUSPECT:
                peer.since += late
        self._probe_at = max(self._probe_at, now + self.settings.period)
        self._sync_at = now  # ask somebody what has happened meanwhile

    # Suspicion

    def _suspect(self, now: float, peer: Peer, by: str) -> None:
        if peer.life is Life.ALIVE:
            peer.life, peer.since, peer.accusers = Life.SUSPECT, now, set()
            self.suspicions += 1
            self.changes.append(("suspected", peer.name))
        if by and by not in peer.accusers and len(peer.accusers) <= self.settings.accusers:
            peer.accusers.add(by)
            self._spread(now, peer.name)

    def _end_suspicions(self, now: float) -> None:
        for peer in list(self.peers.values()):
            if peer.life is Life.SUSPECT and now - peer.since >= self.patience(peer):
                peer.life, peer.since = Life.DEAD, now
                peer.words.clear()
                self.deaths += 1
                self.changes.append(("dead", peer.name))
                self._spread(now, peer.name)
            elif peer.life >= Life.DEAD and now - peer.since > self.settings.forget_after:
                del self.peers[peer.name]
                self._news.pop((peer.name, ""), None)

    # News

    def _take(self, now: float, rumours: Iterable[Rumour], words: Iterable[Word], sender: str) -> None:
        for rumour in rumours:
            self._rumoured(now, rumour, sender)
        for word in words:
            self._worded(now, word)

    def _rumoured(self, now: float, told: Rumour, sender: str) -> None:
        """Take a rumour: what is newer, or worse of the same incarnation, replaces what is held."""
        settings = self.settings
        if not 0 < len(told.name) <= settings.most_name or not 0 <= told.life <= Life.LEFT:
            self.refused += 1
            return
        if told.name == self.name:
            self._of_myself(now, told)
            return
        peer = self.peers.get(told.name)
        if peer is None:
            if told.life >= Life.DEAD:
                return
            if len(self.peers) >= settings.most_peers:
                self.refused += 1
                return
            peer = Peer(told.name, (told.host, told.port), told.incarnation, Life.ALIVE, now)
            self.peers[told.name] = peer
            self._round.insert(self.random.randint(0, len(self._round)), told.name)
            self.changes.append(("joined", told.name))
            self._spread(now, told.name)
        elif told.life == Life.ALIVE:
            if told.incarnation <= peer.incarnation:
                return
            if peer.life is not Life.ALIVE:
                self.changes.append(("back", told.name))
            peer.address, peer.incarnation = (told.host, told.port), told.incarnation
            peer.life, peer.since, peer.accusers = Life.ALIVE, now, set()
            self._spread(now, told.name)
            return
        if told.life == Life.SUSPECT and told.incarnation >= peer.incarnation and peer.life <= Life.SUSPECT:
            if told.incarnation > peer.incarnation:  # it has refuted the last suspicion meanwhile
                peer.life, peer.incarnation = Life.ALIVE, told.incarnation
            self._suspect(now, peer, told.by or sender)
        elif told.life >= Life.DEAD and told.incarnation >= peer.incarnation and peer.life < Life.DEAD:
            peer.incarnation, peer.life, peer.since = told.incarnation, Life(told.life), now
            peer.words.clear()
            self.changes.append(("dead" if told.life == Life.DEAD else "left", told.name))
            self._spread(now, told.name)

    def _of_myself(self, now: float, told: Rumour) -> None:
        """Refute what others say, and outdo a former life of this name; once a period at most."""
        wrong = told.life != Life.ALIVE or (told.host, told.port) != self.address
        if self._leaving or told.incarnation < self.incarnation or not wrong:
            return
        if told.life != Life.ALIVE:
            self._aware(1)
        if now - self.refuted_at < self.settings.spread_every:
            return
        self.refuted_at, self.incarnation = now, told.incarnation + 1
        for kind, held in self.words.items():  # a former life may have told more of these
            held.version = max(held.version, (self.incarnation << 32) + 1)
            self._spread(now, self.name, kind)
        self._spread(now, self.name)

    def _worded(self, now: float, word: Word) -> None:
        """Take a word of a living peer where it is newer than what is held."""
        settings, peer = self.settings, self.peers.get(word.origin)
        if word.origin == self.name:
            self._former(now, word)
            return
        if peer is None or peer.life > Life.SUSPECT:
            return
        known = peer.words.get(word.kind)
        full = known is None and len(peer.words) >= settings.most_kinds
        odd = len(word.body) > settings.most_body or len(word.kind) > settings.most_name
        if full or odd or not 0.0 <= word.age < NEVER:
            self.refused += 1
            return
        if known is not None and word.version <= known.version:
            return
        peer.words[word.kind] = Held(word.version, now - word.age, word.body)
        self.changes.append(("word", word.origin))
        self._spread(now, word.origin, word.kind)

    def _former(self, now: float, word: Word) -> None:
        """A word of this name that this process has not said: a former life did, and is outdone."""
        held = self.words.get(word.kind)
        if held is not None and word.version >= held.version and word.body != held.body:
            held.version = word.version + 1
            self._spread(now, self.name, word.kind)
        elif held is None and len(self._floors) < self.settings.most_kinds:
            self._floors[word.kind] = max(self._floors.get(word.kind, 0), word.version)

    def _spread(self, now: float, name: str, kind: str = "") -> None:
        """Have a piece of news sent on, from the start."""
        if not self._news:
            self._spread_at = max(self._spread_at, now)
        self._news[(name, kind)] = 0

    def _say(self, now: float, to: str, message: Message, actions: list[Action]) -> None:
        """Send with as much news as there is room for, the least sent first; the suspected is told first."""
        address = self.address_of(to)
        if address is None:
            return
        if isinstance(message, Nack):
            actions.append(Say(to, address, message))
            return
        rumours: list[Rumour] = []
        words: list[Word] = []
        room, most = self.settings.room, self._most_sent()
        if (peer := self.peers.get(to)) is not None and peer.life is Life.SUSPECT:
            rumours.append(self._rumour(peer))
            room -= self._size(rumours[0])
        for key in sorted(self._news, key=self._news.__getitem__):
            piece = self._piece(now, *key)
            if piece is None:
                del self._news[key]
                continue
            size = self._size(piece)
            if size > room:
                continue
            room -= size
            if isinstance(piece, Rumour):
                rumours.append(piece)
            else:
                words.append(piece)
            self._news[key] += 1
            if self._news[key] >= most:
                del self._news[key]
        if isinstance(message, Tell) and not rumours and not words:
            return
        actions.append(Say(to, address, replace(message, rumours=tuple(rumours), words=tuple(words))))

    def _piece(self, now: float, name: str, kind: str) -> Rumour | Word | None:
        peer = self.peers.get(name)
        if not kind:
            return self._own() if name == self.name else self._rumour(peer) if peer else None
        held = (self.words if name == self.name else peer.words if peer else {}).get(kind)
        return self._word(now, name, kind, held) if held is not None else None

    def _most_sent(self) -> int:
        return self.settings.repeat * max(1, ceil(log10(len(self.peers) + 2)))

    def _size(self, piece: Rumour | Word) -> int:
        """Bytes that a piece takes at most, whatever its numbers."""
        if isinstance(piece, Rumour):
            return 32 + 4 * (len(piece.name) + len(piece.host) + len(piece.by))
        return 40 + 4 * (len(piece.origin) + len(piece.kind)) + len(piece.body)

    def _own(self) -> Rumour:
        return Rumour(self.name, self.address[0], self.address[1], self.incarnation, int(Life.ALIVE))

    def _rumour(self, peer: Peer) -> Rumour:
        by = self.name if self.name in peer.accusers else min(peer.accusers, default="")
        return Rumour(peer.name, peer.address[0], peer.address[1], peer.incarnation, int(peer.life), by)

    def _word(self, now: float, origin: str, kind: str, held: Held) -> Word:
        return Word(origin, kind, held.version, max(0.0, now - held.born), held.body)

    def _some(self, count: int, without: tuple[str, ...]) -> list[str]:
        names = [p.name for p in self.peers.values() if p.life <= Life.SUSPECT and p.name not in without]
        return self.random.sample(names, min(count, len(names)))

    # Whole states

    def _next_sync(self, now: float, actions: list[Action]) -> None:
        """With a living peer now and then; with the dead and the seeds, as a cut may have healed."""
        settings = self.settings
        living = [a for n in self._some(1, ()) if (a := self.address_of(n)) is not None]
        lost = [self.routes.get(p.name, p.address) for p in self.peers.values() if p.life is Life.DEAD]
        held = {self.address, *(p.address for p in self.peers.values())}
        missing = [s for s in self.seeds if s not in held]  # named, and never met: another part of the fleet
        pause = settings.rejoin_every if lost or not living else settings.sync_every
        if missing:
            pause = min(pause, settings.sync_every / 5.0)
        self._sync_at = now + pause * (0.75 + 0.5 * self.random.random())
        others = [*lost, *missing] or ([] if living else self.seeds)
        if living and (not others or self.random.random() < pause / settings.sync_every):
            actions.append(Sync(living[0]))
        elif others:
            actions.append(Sync(self.random.choice(others)))
