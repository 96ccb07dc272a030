"""Runs an entry instance."""

from __future__ import annotations

import faulthandler
import random
import secrets
import signal
import ssl
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import structlog
from result import Err

from lacewinghold.cmd.settings import describe, load_checked
from lacewinghold.events import Event

if TYPE_CHECKING:
    import argparse

    import httpx

    from lacewinghold.application import EntryInstance, Ports
    from lacewinghold.schema.generated.settings import Settings

logger = structlog.get_logger(__name__)
MAX_IDLE_CONNECTIONS = 256
STDERR_DESCRIPTOR = 2


def add_parsers(commands: Any) -> None:
    """Adds ``serve`` to the parser."""
    parser = commands.add_parser("serve", help="run an entry instance")
    parser.add_argument("--settings", type=Path, required=True)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Runs ``serve``."""
    from lacewinghold.cmd import fail
    from lacewinghold.util.logging import configure_logging
    from lacewinghold.util.runtime import load_trio

    # Native code runs in threads of its own; a crash there leaves no other trace.
    # Callers in this process may have replaced `sys.stderr` by a buffer.
    faulthandler.enable(file=STDERR_DESCRIPTOR, all_threads=True)
    if is_platform_settings(options.settings):
        return run_on_platform(options.settings)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    loaded = load_checked(options.settings)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(describe(options.settings, failure), failure.answer.exit_code)
    configure_logging(loaded.ok_value.log_level)
    load_trio()
    anyio.run(serve, loaded.ok_value, backend="trio")
    return 0


def is_platform_settings(path: Path) -> bool:
    """Returns whether a settings file is for the users' platform."""
    try:
        decoded = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError):
        return False
    return isinstance(decoded, dict) and "bounds" in decoded


def run_on_platform(path: Path) -> int:
    """Runs ``serve`` with settings for the users' platform."""
    # Without a handler, it would end the process before it watches the settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lacewinghold.cmd import fail
    from lacewinghold.cmd.settings import load
    from lacewinghold.schema.generated.entry import EntrySettings
    from lacewinghold.util.logging import configure_bounded_logging
    from lacewinghold.util.runtime import load_trio

    loaded = load(path, EntrySettings)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        return fail(describe(path, failure), failure.answer.exit_code)
    configure_bounded_logging(loaded.ok_value.log_level)
    load_trio()
    from lacewinghold.entry import serve_entry

    anyio.run(serve_entry, loaded.ok_value, path, backend="trio")
    return 0


def make_ssl_context(settings: Settings) -> ssl.SSLContext:
    """Returns the TLS context for connections to platform, workers and backends."""
    if settings.tls is not None:
        return ssl.create_default_context(cafile=settings.tls.authority)
    if any(url.startswith("https:") for url in platform_urls(settings)):
        return ssl.create_default_context()
    # No HTTPS is used. An empty context saves the memory of the default authorities.
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def make_client(ssl_context: ssl.SSLContext, limits: httpx.Limits) -> httpx.AsyncClient:
    """Returns an HTTP client for the platform, workers or one backend server."""
    import httpx

    return httpx.AsyncClient(limits=limits, trust_env=False, verify=ssl_context)


def platform_urls(settings: Settings) -> list[str]:
    """Returns the URLs of the platform's store and instance list."""
    return [*settings.store.endpoints, settings.instance_list_url]


def make_ports(
    settings: Settings, ssl_context: ssl.SSLContext, client: httpx.AsyncClient
) -> Ports:
    """Returns the adapters to store, peers, platform, workers, backends and clock."""
    from lacewinghold.application import Ports
    from lacewinghold.peers.nng import NngTransport
    from lacewinghold.routing.http import HttpBackendLinks
    from lacewinghold.store.etcd import EtcdStore
    from lacewinghold.util.clock import WallClock
    from lacewinghold.workers.http import HttpInstanceList, HttpWorkerLinks

    return Ports(
        EtcdStore(client, settings.store.endpoints, settings.store.timeout_s),
        NngTransport(settings.listen.peer, settings.tls),
        HttpInstanceList(client, settings.instance_list_url),
        HttpWorkerLinks(partial(make_client, ssl_context)),
        HttpBackendLinks(partial(make_client, ssl_context)),
        WallClock(),
    )


async def serve(settings: Settings) -> None:
    """Runs the instance; shuts down at a signal, without grace at a second one."""
    import httpx

    from lacewinghold.api.app import make_app
    from lacewinghold.application import EntryInstance
    from lacewinghold.metrics import EntryMetrics
    from lacewinghold.util.http_server import serve_http
    from lacewinghold.util.statsd_sender import StatsdSender

    structlog.contextvars.bind_contextvars(instance=settings.instance)
    ssl_context = make_ssl_context(settings)
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=MAX_IDLE_CONNECTIONS
    )
    async with make_client(ssl_context, limits) as client:
        ports = make_ports(settings, ssl_context, client)
        instance = EntryInstance(settings, ports, secrets.token_hex(4), random.Random())
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_signals, instance, stop, tasks)
            tasks.start_soon(instance.run)
            metrics = EntryMetrics(instance)
            sender = StatsdSender(
                metrics.registry, metrics.refresh, settings.statsd, settings.instance
            )
            tasks.start_soon(sender.run)
            await serve_http(
                make_app(instance),
                settings.listen.http,
                stop.wait,
                settings.shutdown_limit_s,
                settings.tls,
                lambda addresses: logger.info(Event.LISTENING, addresses=addresses),
            )
            logger.info(Event.HANDING_SHARDS_OVER, shards=len(instance.manager.owners))
            await instance.shut_down()
            tasks.cancel_scope.cancel()
    logger.info(Event.STOPPED)


async def watch_signals(
    instance: EntryInstance, stop: anyio.Event, tasks: anyio.abc.TaskGroup
) -> None:
    """Starts a graceful shutdown at the first signal, stops at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if instance.manager.leaving:
                logger.warning(Event.STOPPING_AT_ONCE)
                tasks.cancel_scope.cancel()
                return
            instance.manager.leaving = True
            tasks.start_soon(stop_after_balancer_delay, instance, stop)


async def stop_after_balancer_delay(instance: EntryInstance, stop: anyio.Event) -> None:
    """Closes the listeners after the balancer has had time to remove the instance."""
    logger.info(
        Event.SHUTTING_DOWN, balancer_delay_s=instance.settings.balancer_delay_s
    )
    await anyio.sleep(instance.settings.balancer_delay_s)
    stop.set()
