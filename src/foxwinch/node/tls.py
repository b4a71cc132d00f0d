"""TLS contexts of the listeners for callers and operators."""

import ssl

from foxwinch.settings.process import TlsSettings


def server_context(
    settings: TlsSettings | None, protocols: tuple[str, ...]
) -> ssl.SSLContext | None:
    """Return a server context that offers `protocols` (ALPN names); None without settings.

    With an authority file, clients must present a certificate signed by that authority.
    """
    if settings is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate_file, settings.key_file)
    if settings.authority_file is not None:
        context.load_verify_locations(settings.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(list(protocols))
    return context
