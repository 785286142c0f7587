"""Settings of gossip."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.errors import ConfigurationError

PING_TIMEOUT_SHARE = 0.4  # of the probe interval
GOSSIP_INTERVAL_SHARE = 0.4  # of the probe interval
_POSITIVE = ("probe_interval", "ping_timeout", "gossip_interval", "sync_interval", "pause_threshold")


class GossipSettingsError(ConfigurationError, ValueError):
    """A gossip setting is invalid."""


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """Times in seconds, sizes in bytes. Raises GossipSettingsError for invalid values."""

    probe_interval: float = 0.25
    ping_timeout: float = 0.1  # time without an ack after which other members are asked to ping the target
    indirect_probes: int = 3  # members asked to ping the target
    gossip_interval: float = 0.1  # between update messages while updates are pending
    gossip_fanout: int = 3  # members that receive each update message
    retransmit_multiplier: int = 4  # transmissions per update = this * ceil(log10(members + 2))
    suspicion_multiplier: float = 4.0  # minimum timeout = this * log10(members) * probe_interval
    suspicion_max_multiplier: float = 4.0  # timeout with a single accuser = this * minimum timeout
    confirmations: int = 3  # independent accusers after the first that shorten the timeout to the minimum
    max_local_health: int = 8
    sync_interval: float = 15.0  # between exchanges of complete states
    rejoin_interval: float = 1.0  # the same while there are dead members: a partition may have healed
    pause_threshold: float = 0.5  # timer delay above which the process counts as suspended
    dead_retention: float = 60.0  # how long a dead or left member stays in the table
    max_members: int = 1024
    max_entry_kinds: int = 8  # state entries per member
    max_entry_bytes: int = 512
    max_relayed_probes: int = 256  # concurrent probes on behalf of other members
    piggyback_bytes: int = 1100  # limit of updates and state entries per datagram
    max_name_length: int = 64  # characters

    @classmethod
    def for_probe_interval(cls, probe_interval: float) -> GossipSettings:
        """Return settings with ping timeout and gossip interval scaled to a probe interval in seconds."""
        return cls(
            probe_interval=probe_interval,
            ping_timeout=PING_TIMEOUT_SHARE * probe_interval,
            gossip_interval=GOSSIP_INTERVAL_SHARE * probe_interval,
        )

    def __post_init__(self) -> None:
        """Check that intervals are positive and the ping timeout is shorter than the probe interval."""
        for name in _POSITIVE:
            if getattr(self, name) <= 0:
                raise GossipSettingsError(f"{name} must be above 0")
        if self.ping_timeout >= self.probe_interval:
            raise GossipSettingsError("ping_timeout must be shorter than probe_interval")
