"""TLS contexts for mutual authentication between nodes by a common certificate authority."""

import ssl
from dataclasses import dataclass

from foxwinch.settings.process import TlsSettings


@dataclass(frozen=True, slots=True)
class PeerTls:
    """TLS contexts of the server and the client side."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def build_peer_tls(settings: TlsSettings) -> PeerTls:
    """Build both contexts from `settings`, which must name an authority.

    Raise `ValueError` without an authority and `OSError` for files that cannot be read.
    """
    if settings.authority_file is None:
        raise ValueError("peer_tls.authority_file is required to authenticate peers")
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False  # peers are addressed by IP, which changes with each machine
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(settings.certificate_file, settings.key_file)
        context.load_verify_locations(settings.authority_file)
    return PeerTls(server, client)
