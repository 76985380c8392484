"""TLS contexts from settings, for callers' ports and between the system's own processes."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from boragetiller.errors import SettingsInvalid

if TYPE_CHECKING:
    from boragetiller.settings import TlsSettings


def build_server_tls_context(tls: TlsSettings) -> ssl.SSLContext:
    """
    Build the server side; an authority makes client certificates required.

    :param tls: PEM files
    :return: the context
    :raises SettingsInvalid: a file is missing or not what it should be
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, tls)
    if tls.authority is not None:
        _load_authority(context, tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def build_client_tls_context(tls: TlsSettings) -> ssl.SSLContext:
    """
    Build the client side, which shows its own certificate too.

    The server's certificate must name the IP number that is connected to and be signed by the
    authority; without one in the settings, by an authority that the host trusts.

    :param tls: PEM files
    :return: the context
    :raises SettingsInvalid: a file is missing or not what it should be
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, tls)
    if tls.authority is None:
        context.load_default_certs(ssl.Purpose.SERVER_AUTH)
    else:
        _load_authority(context, tls.authority)
    return context


def _load_certificate(context: ssl.SSLContext, tls: TlsSettings) -> None:
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ValueError) as error:  # ssl.SSLError is an OSError
        text = f"tls: certificate {tls.certificate} with key {tls.key}: {error}"
        raise SettingsInvalid(text) from error


def _load_authority(context: ssl.SSLContext, authority: str) -> None:
    try:
        context.load_verify_locations(authority)
    except (OSError, ValueError) as error:
        raise SettingsInvalid(f"tls: authority {authority}: {error}") from error


__all__ = ["build_client_tls_context", "build_server_tls_context"]
