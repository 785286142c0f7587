"""Intervals and bounds of gossip."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.errors import ConfigurationError

PING_TIMEOUT_SHARE = 0.4  # of the probe interval
GOSSIP_INTERVAL_SHARE = 0.4  # of the probe interval
_POSITIVE = ("probe_interval", "ping_timeout", "gossip_interval", "sync_interval", "pause_threshold")


class GossipSettingsError(ConfigurationError, ValueError):
    """A setting of gossip that cannot be used."""


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """Times in seconds, sizes in bytes. Raises GossipSettingsError for what cannot be used."""

    probe_interval: float = 0.25
    ping_timeout: float = 0.1  # before other members are asked to ping the target
    indirect_probes: int = 3  # members asked to ping the target
    gossip_interval: float = 0.1  # between messages of updates alone, while there are any
    gossip_fanout: int = 3  # members that get each of them
    retransmit_multiplier: int = 4  # times the rounded up log10 of the members: how often an update is sent
    suspicion_multiplier: float = 4.0  # times log10 of the members and the probe interval: minimum timeout
    suspicion_max_multiplier: float = 4.0  # times the minimum: the timeout while there is one accuser
    confirmations: int = 3  # independent accusers after the first that shorten the timeout to the minimum
    max_local_health: int = 8
    sync_interval: float = 15.0  # between exchanges of complete states
    rejoin_interval: float = 1.0  # the same while members are held dead: a partition may have healed
    pause_threshold: float = 0.5  # a timer later than this shows that the process was suspended
    dead_retention: float = 60.0  # how long a dead member is remembered
    max_members: int = 1024
    max_entry_kinds: int = 8  # state entries of one member
    max_entry_bytes: int = 512
    max_relayed_probes: int = 256  # probes under way on behalf of other members
    piggyback_bytes: int = 1100  # of a datagram, for updates and state entries
    max_name_length: int = 64  # characters

    @classmethod
    def for_probe_interval(cls, probe_interval: float) -> GossipSettings:
        """Return settings whose other short intervals follow the probe interval, in seconds."""
        return cls(
            probe_interval=probe_interval,
            ping_timeout=PING_TIMEOUT_SHARE * probe_interval,
            gossip_interval=GOSSIP_INTERVAL_SHARE * probe_interval,
        )

    def __post_init__(self) -> None:
        """Check the settings that depend on each other or must be positive."""
        for name in _POSITIVE:
            if getattr(self, name) <= 0:
                raise GossipSettingsError(f"{name} must be above 0")
        if self.ping_timeout >= self.probe_interval:
            raise GossipSettingsError("ping_timeout must be shorter than probe_interval")
