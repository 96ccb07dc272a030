"""Certificate files for tests of the commands."""

from __future__ import annotations

import pytest
import trustme


@pytest.fixture
def certificates(tmp_path):
    """Returns the paths of a certificate, its key and its authority, by setting."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    names = ("certificate", "key", "authority")
    files = {name: str(tmp_path / f"{name}.pem") for name in names}
    issued.cert_chain_pems[0].write_to_path(files["certificate"])
    issued.private_key_pem.write_to_path(files["key"])
    authority.cert_pem.write_to_path(files["authority"])
    return files
