"""Runs an entry instance."""

from __future__ import annotations

import random
import secrets
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import structlog
from result import Err

from lacewinghold.cmd.settings import describe, load_checked

if TYPE_CHECKING:
    import argparse

    import httpx

    from lacewinghold.application import EntryInstance
    from lacewinghold.schema.generated.settings import Settings

logger = structlog.get_logger(__name__)


def add_parsers(commands: Any) -> None:
    """Adds ``serve``."""
    parser = commands.add_parser("serve", help="run an entry instance")
    parser.add_argument("--settings", type=Path, required=True)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs ``serve``."""
    from lacewinghold.cmd import fail
    from lacewinghold.util.logging import configure_logging

    loaded = load_checked(options.settings)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(describe(options.settings, failure), failure.answer.exit_code)
    configure_logging(loaded.ok_value.log_level)
    anyio.run(serve, loaded.ok_value, backend="trio")
    return 0


async def serve(settings: Settings) -> None:
    """Serves until a signal, then shuts down gracefully; a second one is at once."""
    import httpx

    from lacewinghold.api.app import make_app
    from lacewinghold.application import EntryInstance, Ports
    from lacewinghold.peers.nng import NngTransport
    from lacewinghold.routing.http import HttpBackendLinks
    from lacewinghold.store.etcd import EtcdStore
    from lacewinghold.util.clock import WallClock
    from lacewinghold.util.http_server import serve_http
    from lacewinghold.workers.http import HttpInstanceList, HttpWorkerLinks

    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as client:
        store = EtcdStore(client, settings.store.endpoints, settings.store.timeout_s)
        ports = Ports(
            store,
            NngTransport(settings.listen.peer),
            HttpInstanceList(client, settings.instance_list_url),
            HttpWorkerLinks(client),
            HttpBackendLinks(open_backend_client),
            WallClock(),
        )
        instance = EntryInstance(settings, ports, secrets.token_hex(4), random.Random())
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_signals, instance, stop, tasks.cancel_scope)
            tasks.start_soon(instance.run)
            await serve_http(
                make_app(instance),
                settings.listen.http,
                stop.wait,
                settings.shutdown_limit_s,
                settings.tls,
            )
            await instance.shut_down()
            tasks.cancel_scope.cancel()
    logger.info("stopped", instance=instance.instance)


def open_backend_client(limits: httpx.Limits) -> httpx.AsyncClient:
    """Returns a client for one backend server."""
    import httpx

    return httpx.AsyncClient(limits=limits, trust_env=False)


async def watch_signals(
    instance: EntryInstance, stop: anyio.Event, scope: anyio.CancelScope
) -> None:
    """Begins a graceful shutdown at the first signal, stops at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if instance.manager.leaving:
                scope.cancel()
                return
            logger.info("shutting down", instance=instance.instance)
            instance.manager.leaving = True
            await anyio.sleep(instance.settings.balancer_delay_s)
            stop.set()
