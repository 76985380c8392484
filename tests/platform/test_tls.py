"""TLS settings that do not fit are refused with the file's name."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from boragetiller.errors import SettingsInvalid
from boragetiller.platform.tls import client_tls_context, server_tls_context
from boragetiller.settings import TlsSettings


class TlsFilesTest(unittest.TestCase):
    """Files that are missing or hold something else."""

    def test_bad_files_are_settings_errors(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            text = Path(directory) / "text.pem"
            text.write_text("no certificate")
            for name in (str(text), str(Path(directory) / "missing.pem"), directory):
                tls = TlsSettings(certificate=name, key=name, authority=name)
                for build in (server_tls_context, client_tls_context):
                    with self.assertRaisesRegex(SettingsInvalid, name):
                        build(tls)


if __name__ == "__main__":
    unittest.main()
