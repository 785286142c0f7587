"""Pydantic models of the settings. docs/operating.md explains each key."""

from __future__ import annotations

from dataclasses import replace
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from sedgepitch.config.units import Address, Bytes, Seconds
from sedgepitch.decisions.admission.settings import AdmissionSettings
from sedgepitch.decisions.request_classes import Classifier, ClassRule, Match, variants
from sedgepitch.routing import messages as api

PEER_NAME_MAX = 64  # characters
PERIOD_MIN_S = 0.02  # shortest and longest time between two gossip probes
PERIOD_MAX_S = 60.0


class Model(BaseModel):
    """Base of all models: unknown keys are errors, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ClassModel(Model):
    """One request class."""

    name: str = Field(min_length=1, pattern=r"^[^/]+$")
    match: list[Match] = [Match()]
    freshness: api.Freshness
    max_age: Seconds = 0.0
    effect: api.Idempotency = api.Idempotency.IDEMPOTENT
    scope: api.DeduplicationScope = api.DeduplicationScope.CELL
    window: Seconds = 0.0
    aim: Seconds = 0.2
    deadline: Seconds = 1.0
    worth: float = Field(1.0, gt=0)
    late_worth: float = Field(0.0, ge=0, le=1)

    @model_validator(mode="after")
    def _is_consistent(self) -> ClassModel:
        if self.freshness is api.Freshness.BOUNDED and self.max_age <= 0:
            raise ValueError("freshness 'bounded' needs max_age")
        if self.freshness is api.Freshness.WRITE and self.effect is api.Idempotency.IDEMPOTENT:
            raise ValueError("freshness 'write' needs effect 'keyed' or 'unsafe', not 'safe'")
        if self.effect is api.Idempotency.KEYED and self.window <= 0:
            raise ValueError("effect 'keyed' needs window, the time for which members deduplicate retries")
        if self.aim <= 0 or self.deadline <= 0:
            raise ValueError("aim and deadline must be above 0")
        return self

    def build(self) -> api.RequestClass:
        """Return the class in the form that the router takes."""
        return api.RequestClass(
            name=self.name,
            latency_objective=self.aim,
            deadline=self.deadline,
            priority_weight=self.worth,
            late_priority_weight=self.late_worth,
            idempotency=self.effect,
            deduplication_scope=self.scope,
            deduplication_window=self.window,
            freshness=self.freshness,
            max_staleness=self.max_age,
        )


class GroupModel(Model):
    """One replica group and its data: namespaces by pattern, or values of the shard field."""

    id: int
    database: str = "*"
    collection: str = "*"
    shards: list[str | int] = []


class MemberModel(Model):
    """One endpoint of the static list."""

    id: int
    address: Address
    group: int = 0
    zone: str = ""
    primary: bool = False
    size: float = Field(1.0, gt=0)


class ListModel(Model):
    """The source of endpoint list updates: the fleet's control socket."""

    control: Address


class RulesModel(Model):
    """The limits that the service rules state."""

    answer_slack: Seconds = 0.008
    drain_grace: Seconds = 0.5
    overload_factor: float = Field(2.5, gt=0)
    overload_time: Seconds = 1.0
    start_capacity: float = Field(0.2, gt=0, le=1)
    warm_within: Seconds = 10.0
    ask_within: Seconds = 10.0

    def build(self) -> api.RuleLimits:
        """Return the limits in the form that the router takes."""
        return api.RuleLimits(
            answer_slack=self.answer_slack,
            drain_grace=self.drain_grace,
            overload_factor=self.overload_factor,
            overload_duration=self.overload_time,
            initial_capacity=self.start_capacity,
            slow_start_window=self.warm_within,
            max_poll_interval=self.ask_within,
        )


class ModuleModel(Model):
    """Router settings that describe the installation, other than classes and rules."""

    tick: Seconds = 0.002
    drivers: int = Field(1, ge=1)
    checks: api.StaleReadHandling = api.StaleReadHandling.SERVE
    marks: api.SessionTracking = api.SessionTracking.BY_CLIENT
    patience: Seconds = 0.0
    probes: bool = True
    reports_in_answers: bool = True
    reports_position: bool = True
    list_names_primary: bool = True
    most_attempts: int = Field(6, ge=1)
    second_copies: bool = True
    cancel: bool = True
    come_back: bool = True
    max_come_back: Seconds = 2.0


class LimitsModel(Model):
    """Bounds on resources that clients and endpoints can exhaust, and time limits."""

    connections: int = Field(20_000, ge=1)
    in_flight: int = Field(10_000, ge=1)
    frame: Bytes = 48_000_000
    cursors: int = Field(10_000, ge=1)
    cursor_idle: Seconds = 600.0
    member_connections: int = Field(64, ge=1)
    member_idle: Seconds = 60.0
    connect_within: Seconds = 0.5
    probe_within: Seconds = 0.25
    answer_margin: Seconds = 0.01
    handover_within: Seconds = 0.05
    stop_within: Seconds = 5.0


class DoorModel(Model):
    """Admission control: shares by tenant, and queues before the router. Absent: no admission control."""

    tenant: list[Literal["app_name", "address", "session", "database", "comment"]] = ["app_name", "address"]
    client: list[Literal["app_name", "address", "session", "connection"]] = ["session", "connection"]
    weights: dict[str, float] = {}
    default_weight: float = Field(1.0, gt=0)
    most_held: int = Field(2000, ge=1)
    most_waiting_inside: int = Field(8, ge=2)
    most_at_a_turn: int = Field(32, ge=2)
    hold_share: float = Field(0.4, gt=0, lt=1)
    most_debts: int = Field(4096, ge=16)
    most_promises: int = Field(10_000, ge=1)
    horizon: Seconds = 5.0
    retry_share: float = Field(0.2, ge=0)

    @model_validator(mode="after")
    def _weights_are_positive(self) -> DoorModel:
        for name, weight in self.weights.items():
            if weight <= 0:
                raise ValueError(f"weights: '{name}' must be above 0")
        return self

    def build(self) -> AdmissionSettings:
        """Return the settings of admission control."""
        return AdmissionSettings(
            tenant_weights=self.weights,
            default_weight=self.default_weight,
            max_queued=self.most_held,
            max_waiting_in_router=self.most_waiting_inside,
            max_admitted_per_turn=self.most_at_a_turn,
            max_queueing_share=self.hold_share,
            max_tracked_tenants=self.most_debts,
            max_reservations=self.most_promises,
            reservation_horizon=self.horizon,
            retry_budget_share=self.retry_share,
        )


class PeersModel(Model):
    """Gossip with other proxy instances. Absent: no socket is opened and no gossip code is imported."""

    listen: Address
    key_file: str = Field(min_length=1)
    seeds: list[Address] = []
    routes: dict[str, Address] = {}
    period: Seconds = 0.25

    @model_validator(mode="after")
    def _period_is_in_range(self) -> PeersModel:
        if not PERIOD_MIN_S <= self.period <= PERIOD_MAX_S:
            raise ValueError("period must be from 20 ms to 60 s")
        return self


class ZonesModel(Model):
    """Zone failover coordinated with the peers. Absent: each proxy acts only on its own observations."""

    headroom: float = Field(1.5, ge=1.0, le=10.0)
    watch: float = Field(0.1, gt=0.0, lt=1.0)
    steps: int = Field(5, ge=1, le=100)
    wait: Seconds = Field(1.0, gt=0.0)
    wait_most: Seconds = 60.0
    triers: int = Field(2, ge=1, le=16)
    beat: Seconds = Field(3.0, ge=0.2, le=5.0)


class LogModel(Model):
    """Format and limits of the log."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["console", "json"] = "console"
    lines_per_second: int = Field(200, ge=1)


class DriverModel(Model):
    """The identity and the reactor of this proxy instance."""

    name: str = "sedgepitch"
    zone: str = ""
    seed: int | None = None
    reactor: Literal["asyncio", "uvloop", "epoll"] = "uvloop"


class WorkModel(Model):
    """Service times of emulated servers on one core, uniform between `least` and `most`."""

    least: Seconds = 0.002
    most: Seconds = 0.004


class StandinsModel(Model):
    """The fleet of emulated servers: one process with a port for each server, and a control socket."""

    control: Address = ("127.0.0.1", 27200)
    seed: int = 1
    cores: int = Field(2, ge=1)
    waiting_room: int = Field(64, ge=0)
    connections: int = Field(256, ge=1)
    read_work: WorkModel = WorkModel()
    write_work: WorkModel = WorkModel()
    replication_delay: Seconds = 0.006
    apply_work: Seconds = 0.0005
    election_after: Seconds = 1.0
    election_takes: Seconds = 0.5
    handover: Seconds = 0.2
    list_delay: Seconds = 0.3
    key_window: Seconds = 1.2
    start_capacity: float = Field(0.2, gt=0, le=1)
    warm_within: Seconds = 5.0
    overload_factor: float = Field(2.5, gt=0)
    overload_time: Seconds = 1.0
    record: str = ""


class Settings(Model):
    """The settings of one file."""

    driver: DriverModel = DriverModel()
    listen: Address = ("127.0.0.1", 27117)
    metrics: Address | None = None
    log: LogModel = LogModel()
    classes: list[ClassModel] = Field(min_length=1)
    shard_field: str = ""
    groups: list[GroupModel] = [GroupModel(id=0)]
    members: list[MemberModel] = Field(min_length=1)
    follow: ListModel | None = None
    rules: RulesModel = RulesModel()
    module: ModuleModel = ModuleModel()
    limits: LimitsModel = LimitsModel()
    door: DoorModel | None = None
    peers: PeersModel | None = None
    zones: ZonesModel | None = None
    standins: StandinsModel | None = None

    @model_validator(mode="after")
    def _names_are_unique(self) -> Settings:
        identifiers: tuple[tuple[str, list[object]], ...] = (
            ("classes", [c.name for c in self.classes]),
            ("groups", [g.id for g in self.groups]),
            ("members", [m.id for m in self.members]),
        )
        for kind, values in identifiers:
            duplicates = {v for v in values if values.count(v) > 1}
            if duplicates:
                raise ValueError(f"{kind}: {sorted(map(str, duplicates))[0]} stands there twice")
        return self

    @model_validator(mode="after")
    def _groups_exist(self) -> Settings:
        groups = [g.id for g in self.groups]
        for member in self.members:
            if member.group not in groups:
                raise ValueError(
                    f"members: member {member.id} is in group {member.group}, which 'groups' does not list"
                )
        return self

    @model_validator(mode="after")
    def _handover_fits_the_bounds(self) -> Settings:
        handover = self.limits.handover_within
        for cls in self.classes:
            if cls.freshness is api.Freshness.BOUNDED and handover >= cls.max_age / 2:
                raise ValueError(f"limits: handover_within must be under half of the max_age of '{cls.name}'")
            if cls.effect is api.Idempotency.KEYED and handover >= cls.window / 2:
                raise ValueError(f"limits: handover_within must be under half of the window of '{cls.name}'")
        return self

    @model_validator(mode="after")
    def _dependencies_are_present(self) -> Settings:
        if self.peers is not None and not 0 < len(self.driver.name) <= PEER_NAME_MAX:
            raise ValueError("driver: name must have 1 to 64 characters if there is a part 'peers'")
        if self.zones is not None and self.peers is None:
            raise ValueError("zones: zone failover needs gossip with peers, and there is no part 'peers'")
        if any(g.shards for g in self.groups) and not self.shard_field:
            raise ValueError(
                "groups: shards need shard_field, the path of the document field that selects the shard"
            )
        return self

    def request_classes(self) -> tuple[api.RequestClass, ...]:
        """Return the request classes as configured."""
        return tuple(c.build() for c in self.classes)

    def classifier(self) -> Classifier:
        """Return a classifier with the compiled match rules of all classes."""
        rules = [ClassRule(c.name, m) for c in self.classes for m in c.match]
        return Classifier(self.request_classes(), rules)

    def module_settings(self) -> api.Settings:
        """Return the router's settings.

        Staleness bounds and deduplication windows are shortened by `handover_within`, since they may expire
        while a decision is carried out. Windows are also shortened by the latency objective: endpoints look
        up the idempotency key when they run the write, not when its bytes arrive.
        """
        handover = self.limits.handover_within
        classes = tuple(
            replace(
                cls,
                max_staleness=max(0.0, cls.max_staleness - handover),
                deduplication_window=max(0.0, cls.deduplication_window - handover - cls.latency_objective),
            )
            for cls in variants(self.request_classes())
        )
        module = self.module
        return api.Settings(
            classes=classes,
            zone=self.driver.zone,
            rules=self.rules.build(),
            subscription_required=self.follow is not None,
            tick=module.tick,
            proxy_instances=module.drivers,
            stale_read_handling=module.checks,
            session_tracking=module.marks,
            stale_read_wait=module.patience,
            health_checks=module.probes,
            load_reports_in_answers=module.reports_in_answers,
            reports_position=module.reports_position,
            list_reports_primary=module.list_names_primary,
            max_attempts=module.most_attempts,
            hedging=module.second_copies,
            cancel=module.cancel,
            retry_after=module.come_back,
            max_retry_after=module.max_come_back,
        )

    def entries(self) -> tuple[api.EndpointEntry, ...]:
        """Return the static endpoint list."""
        return tuple(
            api.EndpointEntry(m.id, m.group, api.EndpointState.UP, m.zone, m.primary, m.size)
            for m in self.members
        )
