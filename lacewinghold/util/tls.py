"""TLS contexts from certificate files, reloaded when the files change."""

from __future__ import annotations

import ssl
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import structlog
from result import Err, Ok, Result

from lacewinghold.errors import ErrorKind, Failure
from lacewinghold.events import Event

if TYPE_CHECKING:
    from lacewinghold.schema.generated.settings import Tls

logger = structlog.get_logger(__name__)
RELOAD_INTERVAL_S = 5.0


def check_files(tls: Tls) -> Result[None, Failure]:
    """Checks the files; a failure names the setting of an unusable file."""
    for field in ("certificate", "key", "authority"):
        file = Path(getattr(tls, field))
        if not file.is_file():
            detail = f"found no file {file}"
            return Err(Failure(ErrorKind.INVALID, detail, f"$.tls.{field}"))
    try:
        make_server_context(tls)
    except ssl.SSLError as error:
        detail = f"found a pair of files that cannot be loaded: {error.reason}"
        return Err(Failure(ErrorKind.INVALID, detail, "$.tls.certificate"))
    try:
        ssl.create_default_context(cafile=tls.authority)
    except ssl.SSLError as error:
        detail = f"found a file that cannot be loaded: {error.reason}"
        return Err(Failure(ErrorKind.INVALID, detail, "$.tls.authority"))
    return Ok(None)


def make_server_context(tls: Tls) -> ssl.SSLContext:
    """Returns a TLS context for a server.

    :raises ssl.SSLError: If certificate and key do not load or match.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def file_stamps(tls: Tls) -> list[tuple[int, int]]:
    """Returns the modification time and inode of each file; (0, 0) if missing."""
    found = []
    for name in (tls.certificate, tls.key):
        try:
            status = Path(name).stat()
        except OSError:
            found.append((0, 0))
            continue
        found.append((status.st_mtime_ns, status.st_ino))
    return found


class CertificateReloader:
    """Reloads changed certificate files into a TLS context in use.

    Open connections keep their certificate; new connections use the new one. If the
    files do not load, the old certificate stays in use.
    """

    def __init__(self, tls: Tls, context: ssl.SSLContext) -> None:
        self.tls = tls
        self.context = context
        self.loaded_stamps = file_stamps(tls)

    async def run(self) -> None:
        """Checks the files periodically until cancelled."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def reload(self) -> bool:
        """Loads the files if they have changed.

        :returns: Whether they were loaded.
        """
        found = file_stamps(self.tls)
        if found == self.loaded_stamps:
            return False
        try:
            # A half-written pair must not reach the context in use.
            make_server_context(self.tls)
            self.context.load_cert_chain(self.tls.certificate, self.tls.key)
        except (OSError, ssl.SSLError) as error:
            logger.warning(Event.CERTIFICATE_NOT_RELOADED, detail=str(error))
            return False
        self.loaded_stamps = found
        logger.info(Event.CERTIFICATE_RELOADED, file=self.tls.certificate)
        return True
