"""The member list as versions of it arrive: what is believed, and what has to be asked anew.

Sources tell whole lists and changes, each with a version. A change counts if it is newer than what is held;
one that is not has been told already. A whole list always counts: whoever tells it says that all else is
void, so a version that went back (a source that lost its memory, or one that lags behind the one before) is
taken, too. But what was told ending, draining or removed, by a later version stays so there until it has
started again or a change names it: a lagging list says nothing of a member that it has not heard of yet, and
a request sent to one that ends breaks a rule, where one not sent only costs room. Members are named by
strings there and by numbers in the module; the number is made of the name alone, so that every driver and
every start of one uses the same, and is kept for as long as the name is listed or in use here.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from sedgepitch.routing.messages import EndpointEntry, EndpointListUpdate, EndpointState

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Entry:
    """One member as a source tells it. `started` is on the driver's clock, 0 where that was long ago."""

    name: str
    address: Address
    zone: str
    group: int
    state: EndpointState
    size: float
    started: float
    primary: bool


@dataclass(slots=True, frozen=True)
class Version:
    """One object of the source."""

    revision: int
    complete: bool
    entries: tuple[Entry, ...]


class EndpointListVersions:
    """What this driver holds of the list. Pure; names that are let go are forgotten wholly."""

    __slots__ = ("addresses", "ending", "names", "numbers", "present", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.present: set[int] = set()
        self.ending: dict[str, float] = {}  # those told draining or removed, and when they had started

    def take(self, version: Version, remembered: bool = False) -> EndpointListUpdate | None:
        """Take a version; returns what the module is to hear, None where it says nothing new.

        A remembered list gives members but no version: it may be out of date.
        """
        back = not remembered and version.revision < self.revision
        if not remembered:
            if not version.complete and version.revision <= self.revision:
                return None
            self.revision = version.revision
        entries = tuple(self._listing(entry, back) for entry in version.entries)
        if version.complete:
            self.present = set()
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.present.discard(entry.endpoint)
            else:
                self.present.add(entry.endpoint)
        return EndpointListUpdate(entries, version.complete, remembered)

    def forget(self, number: int) -> None:
        """Nothing here uses a member any more; its name goes unless it is listed."""
        if number not in self.present and number in self.names:
            name = self.names.pop(number)
            del self.numbers[name]
            self.ending.pop(name, None)
            self.addresses.pop(number, None)

    def _listing(self, entry: Entry, back: bool) -> EndpointEntry:
        state = entry.state
        if state is not EndpointState.UP:
            self.ending[entry.name] = entry.started
        elif back and entry.name in self.ending and entry.started <= self.ending[entry.name]:
            state = EndpointState.DRAINING
        else:
            self.ending.pop(entry.name, None)
        number = self.numbers.get(entry.name)
        if number is None:
            number = crc32(entry.name.encode("utf-8", "replace"))
            while number in self.names:
                number = (number + 1) & 0xFFFFFFFF
            self.numbers[entry.name], self.names[number] = number, entry.name
        self.addresses[number] = entry.address
        return EndpointEntry(number, entry.group, state, entry.zone, entry.primary, entry.size, entry.started)
