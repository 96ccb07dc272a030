"""Wires and serves an entry instance on the users' platform."""

from __future__ import annotations

import random
import secrets
import signal
from typing import TYPE_CHECKING

import anyio
import structlog

from lacewinghold.events import Event
from lacewinghold.ids import InstanceId
from lacewinghold.peers.nng import NngTransport
from lacewinghold.platform.advice import PlatformAdvice
from lacewinghold.platform.front import PlatformFront
from lacewinghold.platform.manifest import MANIFEST_KEY, read_manifest
from lacewinghold.platform.store import PlatformStore
from lacewinghold.platform.workers import (
    WORKERS_PREFIX,
    PlatformWorkerDialer,
    read_worker,
)
from lacewinghold.scheduler.cell import CellInstance, CellPorts, OperatorKeys
from lacewinghold.util.clock import WallClock
from lacewinghold.util.http_server import serve_http
from lacewinghold.util.metrics_http import MetricsApp

if TYPE_CHECKING:
    from lacewinghold.schema.generated.entry import EntrySettings

logger = structlog.get_logger(__name__)
GRACE_MARGIN_S = 1.0  # Kept of the time between SIGTERM and SIGKILL.
BALANCER_NOTICE_S = 2.2  # Two probes a second apart, after which no channel comes.


def make_ports(settings: EntrySettings) -> CellPorts:
    """Returns the adapters to the platform."""
    return CellPorts(
        store=PlatformStore(settings.store.address),
        transport=NngTransport(settings.listen.peer),
        dialer=PlatformWorkerDialer(),
        advice=PlatformAdvice(settings.advice) if settings.advice else None,
        keys=OperatorKeys(MANIFEST_KEY, WORKERS_PREFIX, read_manifest, read_worker),
        clock=WallClock(),
    )


async def serve_entry(settings: EntrySettings) -> None:
    """Serves until SIGTERM, then finishes what is in progress."""
    structlog.contextvars.bind_contextvars(instance=settings.instance)
    boot = secrets.token_hex(4)
    name = InstanceId(f"{settings.instance}.{boot}")
    instance = CellInstance(settings, make_ports(settings), name, random.Random())
    stop = anyio.Event()
    listen = settings.listen
    logger.info(Event.STARTED, boot=boot, store=settings.store.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, instance, stop)
        tasks.start_soon(instance.run)
        if listen.metrics:
            tasks.start_soon(serve_metrics, instance, stop)
        await serve_http(
            PlatformFront(instance),
            [listen.callers, listen.ready],
            stop.wait,
            settings.bounds.grace_s - GRACE_MARGIN_S - BALANCER_NOTICE_S,
            started=lambda addresses: logger.info(Event.LISTENING, addresses=addresses),
        )
        tasks.cancel_scope.cancel()
    logger.info(Event.STOPPED)


async def serve_metrics(instance: CellInstance, stop: anyio.Event) -> None:
    """Serves the metrics until the listeners stop."""
    app = MetricsApp(instance.render_metrics)
    await serve_http(app, instance.settings.listen.metrics, stop.wait, 0.0)


async def watch_signals(instance: CellInstance, stop: anyio.Event) -> None:
    """Hands the ownership over at SIGTERM, then stops the listeners."""
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                logger.info(Event.RELOAD_ASKED_FOR)
                continue
            if instance.leaving:
                continue
            logger.info(Event.STOPPING, signal=int(number))
            await instance.shut_down()
            await anyio.sleep(BALANCER_NOTICE_S)
            stop.set()
