"""TLS contexts of the listener and of outgoing calls."""

import ssl

import celeryshift_core as core
from celeryshift_node import _settings


def server_context(tls: _settings.Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None without TLS.

    Raises SettingsError for files that cannot be used.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except OSError as error:
        mistake = f'{error} @ $.tls.certificate, $.tls.key'
        raise core.SettingsError('settings', [mistake]) from error
    return context


def client_context(tls: _settings.Tls | None) -> ssl.SSLContext | None:
    """Return the TLS context of calls, or None for the system's default.

    Raises SettingsError for a file that cannot be used.
    """
    if tls is None or tls.ca is None:
        return None
    try:
        return ssl.create_default_context(cafile=tls.ca)
    except OSError as error:
        mistake = f'{error} @ $.tls.ca'
        raise core.SettingsError('settings', [mistake]) from error


def scheme(secured: bool) -> str:
    """Return the URL scheme for connections with or without TLS."""
    return 'https' if secured else 'http'
