"""Format of program identifiers.

A program is `<tenant>/<name>`, a child program `<tenant>/<name>~<suffix>`. The tenant prefix
separates equal names of different tenants. A program tree is located by its root, so a child is
always on the same node as the parent whose budget it spends.
"""

import hashlib
import re

from foxwinch.identifiers import ProgramId, TenantName

TENANT_SEPARATOR = "/"
CHILD_SEPARATOR = "~"
NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
"""Valid names for new programs."""
EXISTING_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:~-]{0,511}$")
"""Valid names in references to existing programs, including child programs."""
NAME_RULE = "1 to 128 letters, digits, and . _ : - after a letter or digit"
SINGLE_CALL_PREFIX = "once-"
"""Name prefix of single-call programs, reserved for generated names."""


def scoped_program_id(tenant: TenantName, name: str) -> ProgramId:
    """Return the identifier of a tenant's program."""
    return ProgramId(f"{tenant}{TENANT_SEPARATOR}{name}")


def name_of(program_id: ProgramId) -> str:
    """Return the program's name within its tenant."""
    return program_id.partition(TENANT_SEPARATOR)[2]


def root_of(program_id: ProgramId) -> ProgramId:
    """Return the id of the root program, by which the program tree is located."""
    return ProgramId(program_id.partition(CHILD_SEPARATOR)[0])


def child_program_id(parent: ProgramId, suffix: str) -> ProgramId:
    """Return the identifier of a child program."""
    return ProgramId(f"{parent}{CHILD_SEPARATOR}{suffix}")


def single_call_name_for_key(idempotency_key: str) -> str:
    """Return the single-call program name for an idempotency key, so that a retry finds it."""
    return SINGLE_CALL_PREFIX + hashlib.sha256(idempotency_key.encode()).hexdigest()[:40]


def program_name_for_key(idempotency_key: str) -> str:
    """Return the name of a program created with an idempotency key but without a name."""
    return "key-" + hashlib.sha256(idempotency_key.encode()).hexdigest()[:40]


def single_call_name(identifier: str) -> str:
    """Return the name of a single-call program that has no idempotency key."""
    return SINGLE_CALL_PREFIX + identifier


def is_single_call(program_id: ProgramId) -> bool:
    """Return whether the program was created for a single call."""
    return name_of(program_id).startswith(SINGLE_CALL_PREFIX)
