"""Builds TLS contexts from settings, for callers' ports and between the system's processes."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from boragetiller.errors import SettingsInvalid

if TYPE_CHECKING:
    from boragetiller.settings import TlsSettings


def build_server_tls_context(tls: TlsSettings) -> ssl.SSLContext:
    """
    Build a server's context; if an authority is set, clients must present a certificate.

    :param tls: paths of PEM files
    :return: the context
    :raises SettingsInvalid: a file is missing or has invalid contents
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
    Build a client's context; the client presents its own certificate.

    The server's certificate must name the IP address of the connection and be signed by the
    authority in the settings or, if none is set, by an authority that the host trusts.

    :param tls: paths of PEM files
    :return: the context
    :raises SettingsInvalid: a file is missing or has invalid contents
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
        text = f"tls: cannot load certificate {tls.certificate} with key {tls.key}: {error}"
        raise SettingsInvalid(text) from error


def _load_authority(context: ssl.SSLContext, authority: str) -> None:
    try:
        context.load_verify_locations(authority)
    except (OSError, ValueError) as error:
        raise SettingsInvalid(f"tls: cannot load authority {authority}: {error}") from error


__all__ = ["build_client_tls_context", "build_server_tls_context"]
