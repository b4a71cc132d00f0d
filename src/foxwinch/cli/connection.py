"""Connection options shared by all commands that use the operator API."""

import ipaddress
import os
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import uvloop

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.output import fail, fail_refused
from foxwinch.operator.client import OperatorClient
from foxwinch.outcomes import Refused

KEY_VARIABLE = "FOXWINCH_OPERATOR_KEY"
"""The key is no command-line option, because the process list would expose it."""
CONNECTION = cappa.Group(name="Connection", order=5)
Operation = Callable[[OperatorClient], Awaitable[Any]]


@dataclass(kw_only=True)
class Connection:
    """Address of the node to connect to, and the operator's credentials."""

    address: Annotated[
        str,
        cappa.Arg(
            long="--address",
            default=cappa.Env("FOXWINCH_OPERATOR_ADDRESS", default=""),
            help="Operator API address of any node, ip:port [env: FOXWINCH_OPERATOR_ADDRESS]",
            group=CONNECTION,
        ),
    ] = ""
    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            help="File with the operator key; default: FOXWINCH_OPERATOR_KEY",
            group=CONNECTION,
        ),
    ] = None
    authority_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--authority-file",
            help="CA certificate (PEM) that signed the node's certificate; enables TLS",
            group=CONNECTION,
        ),
    ] = None
    timeout_seconds: Annotated[
        float,
        cappa.Arg(long="--timeout-seconds", help="Timeout of each request", group=CONNECTION),
    ] = 5.0

    def execute(self, operation: Operation) -> Any:
        """Return the result of `operation` on a connected client; exit on a refusal."""
        host, port = self._host_and_port()
        key = self._operator_key()
        tls = self._tls()

        async def run() -> Any:
            async with OperatorClient(host, port, key, self.timeout_seconds, tls) as client:
                return await operation(client)

        outcome = uvloop.run(run())
        if isinstance(outcome, Refused):
            fail_refused(outcome)
        return outcome

    def _host_and_port(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        try:
            return str(ipaddress.ip_address(host.strip("[]"))), int(port)
        except ValueError:
            detail = f"--address = {self.address!r}: must be ip:port, such as 127.0.0.1:7002"
            fail(ExitCode.INVALID, detail)

    def _operator_key(self) -> str:
        if self.key_file is None:
            return os.environ.get(KEY_VARIABLE, "")
        try:
            return self.key_file.read_text(encoding="utf-8").strip()
        except OSError as error:
            fail(ExitCode.INVALID, f"--key-file = {str(self.key_file)!r}: {error.strerror}")

    def _tls(self) -> ssl.SSLContext | None:
        if self.authority_file is None:
            return None
        try:
            context = ssl.create_default_context(cafile=str(self.authority_file))
        except OSError as error:
            fail(ExitCode.INVALID, f"--authority-file = {str(self.authority_file)!r}: {error}")
        context.set_alpn_protocols(["h2"])
        return context
