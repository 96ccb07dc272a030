"""Composes and serves an entry instance on the users' platform."""

from __future__ import annotations

import random
import secrets
import signal
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.peers.limits import make_limits
from lacewinghold.peers.nng import NngTransport
from lacewinghold.platform.advice import PlatformAdvice
from lacewinghold.platform.front import JOB_ID_PATTERN, PlatformFront
from lacewinghold.platform.manifest import MANIFEST_KEY, read_manifest
from lacewinghold.platform.operators import OperatorsApp
from lacewinghold.platform.store import PlatformStore
from lacewinghold.platform.workers import (
    WORKERS_PREFIX,
    PlatformWorkerDialer,
    read_worker,
)
from lacewinghold.scheduler.cell import CellInstance, CellPorts, OperatorKeys
from lacewinghold.scheduler.job_ids import JobIds
from lacewinghold.util.clock import WallClock
from lacewinghold.util.http_limits import Capacity, ClientLimits, derive_capacity
from lacewinghold.util.http_server import serve_http
from lacewinghold.util.lag import LagMonitor
from lacewinghold.util.settings_watch import SettingsWatch

if TYPE_CHECKING:
    from pathlib import Path

    from lacewinghold.schema.generated.entry import EntryMachine, EntrySettings

logger = structlog.get_logger(__name__)
GRACE_MARGIN_S = 1.0  # Reserved at the end of the time before SIGKILL.
FIELDS_NEEDING_RESTART = (
    "instance",
    "region",
    "data_centre",
    "listen",
    "machine",
    "log_level",
)
STORE_FIELDS_NEEDING_RESTART = ("prefix", "lease_ms")
# The manifest's watch in progress was requested by these.
BOUNDS_NEEDING_RESTART = ("strict_revocation", "revoke_ms")
# The balancer probes once a second and opens no channel after two failed probes.
BALANCER_NOTICE_S = 2.2


def make_ports(
    settings: EntrySettings,
    store: PlatformStore,
    advice: PlatformAdvice | None,
    lag: LagMonitor,
    capacity: Capacity,
) -> CellPorts:
    """Returns the adapters to the platform, workers and peers."""
    return CellPorts(
        store=store,
        transport=NngTransport(settings.listen.peer, limits=make_limits(capacity)),
        dialer=PlatformWorkerDialer(lag, link_mbps(settings)),
        advice=advice,
        keys=OperatorKeys(MANIFEST_KEY, WORKERS_PREFIX, read_manifest, read_worker),
        clock=WallClock(),
        job_ids=JobIds(JOB_ID_PATTERN),
        lag=lag,
    )


class LiveSettings:
    """Applies changed settings to a running entry instance.

    :param settings: The settings at the start of the process.
    """

    def __init__(
        self,
        instance: CellInstance,
        store: PlatformStore,
        advice: PlatformAdvice | None,
        settings: EntrySettings,
    ) -> None:
        self.instance = instance
        self.store = store
        self.advice = advice
        self.initial_settings = settings

    def apply(self, settings: EntrySettings) -> list[str]:
        """Applies the settings that can change in a running process.

        :returns: The changed fields that take effect only after a restart.
        """
        self.store.set_address(settings.store.address)
        if self.advice is not None and settings.advice:
            self.advice.client.set_address(settings.advice)
        self.instance.apply_settings(settings)
        pending = [
            name for name in FIELDS_NEEDING_RESTART if self.differs(settings, name)
        ]
        if bool(settings.advice) is not bool(self.initial_settings.advice):
            pending.append("advice")
        for name in STORE_FIELDS_NEEDING_RESTART:
            old = getattr(self.initial_settings.store, name)
            if getattr(settings.store, name) != old:
                pending.append(f"store.{name}")
        for name in BOUNDS_NEEDING_RESTART:
            old = getattr(self.initial_settings.bounds, name)
            if getattr(settings.bounds, name) != old:
                pending.append(f"bounds.{name}")
        return pending

    def differs(self, settings: EntrySettings, name: str) -> bool:
        """Returns whether a field differs from its value at the start."""
        return bool(getattr(settings, name) != getattr(self.initial_settings, name))


async def serve_entry(settings: EntrySettings, path: Path) -> None:
    """Serves until SIGTERM, then finishes requests in progress.

    :param path: The settings file, which is watched for changes.
    """
    structlog.contextvars.bind_contextvars(instance=settings.instance)
    boot = secrets.token_hex(4)
    name = InstanceId(f"{settings.instance}.{boot}")
    lag = LagMonitor()
    link = link_mbps(settings)
    store = PlatformStore(settings.store.address, lag, link)
    advice = PlatformAdvice(settings.advice, lag, link) if settings.advice else None
    capacity = machine_capacity(settings.machine)
    ports = make_ports(settings, store, advice, lag, capacity)
    instance = CellInstance(settings, ports, name, random.Random())
    live = LiveSettings(instance, store, advice, settings)
    watch = SettingsWatch(path, settings, live.apply)
    stop = anyio.Event()
    listen = settings.listen
    limits = ClientLimits(capacity)  # Of all HTTP listeners together.
    logger.info(Event.STARTED, boot=boot, store=settings.store.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, instance, stop, watch)
        tasks.start_soon(watch.run)
        tasks.start_soon(instance.run)
        if listen.metrics:
            tasks.start_soon(serve_metrics, instance, stop, limits)
        await serve_http(
            PlatformFront(instance),
            [listen.callers, listen.ready],
            stop.wait,
            settings.bounds.grace_s - GRACE_MARGIN_S - BALANCER_NOTICE_S,
            started=lambda addresses: logger.info(Event.LISTENING, addresses=addresses),
            limits=limits,
        )
        tasks.cancel_scope.cancel()
    logger.info(Event.STOPPED)


def link_mbps(settings: EntrySettings) -> float | None:
    """Returns the bandwidth of the machine's link in Mbit/s, if it is stated."""
    return None if settings.machine is None else settings.machine.link_mbps


def machine_capacity(machine: EntryMachine | None) -> Capacity:
    """Returns what clients and peers may use of a machine."""
    if machine is None:
        return derive_capacity(0, 0)
    return derive_capacity(machine.memory_mb, machine.max_descriptors)


async def serve_metrics(
    instance: CellInstance, stop: anyio.Event, limits: ClientLimits
) -> None:
    """Serves the metrics and explanations until the stop event is set."""
    app = OperatorsApp(instance)
    address = instance.settings.listen.metrics
    await serve_http(app, address, stop.wait, 0.0, limits=limits)


async def watch_signals(
    instance: CellInstance, stop: anyio.Event, watch: SettingsWatch[EntrySettings]
) -> None:
    """Handles signals until cancelled.

    SIGTERM and SIGINT hand the ownership over, then stop the listeners; SIGHUP
    rereads the settings file.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                watch.check()
                continue
            if instance.leaving:
                continue
            logger.info(Event.STOPPING, signal=int(number))
            await instance.shut_down()
            await anyio.sleep(BALANCER_NOTICE_S)
            stop.set()
