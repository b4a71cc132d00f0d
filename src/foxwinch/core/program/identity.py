"""How program identifiers are built.

`<tenant>/<name>` for a program, `<tenant>/<name>~<suffix>` for a child program. The tenant in front
keeps equal names of two tenants apart. A whole program tree is found by its root, so that
a child always lives with the parent whose budget it spends.
"""

import hashlib
import re

from foxwinch.identifiers import ProgramId, TenantName

TENANT_SEPARATOR = "/"
CHILD_SEPARATOR = "~"
NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")
"""What callers may choose as a program's name."""
EXISTING_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:~-]{0,511}$")
"""What callers may send as the name of a program that exists, child programs included."""
NAME_RULE = "1 to 128 letters, digits, and . _ : - after a letter or digit"
SINGLE_CALL_PREFIX = "once-"
"""Names of programs of one call; callers may not choose such names."""


def scoped_program_id(tenant: TenantName, name: str) -> ProgramId:
    """Return the identifier of a tenant's program."""
    return ProgramId(f"{tenant}{TENANT_SEPARATOR}{name}")


def name_of(program_id: ProgramId) -> str:
    """Return the name by which the tenant knows the program."""
    return program_id.partition(TENANT_SEPARATOR)[2]


def root_of(program_id: ProgramId) -> ProgramId:
    """Return the root of the program's tree: the identifier that it is found by."""
    return ProgramId(program_id.partition(CHILD_SEPARATOR)[0])


def child_program_id(parent: ProgramId, suffix: str) -> ProgramId:
    """Return the identifier of a child program."""
    return ProgramId(f"{parent}{CHILD_SEPARATOR}{suffix}")


def single_call_name_for_key(idempotency_key: str) -> str:
    """Return the name of the single-call program of a key, so that a repeat finds the first."""
    return SINGLE_CALL_PREFIX + hashlib.sha256(idempotency_key.encode()).hexdigest()[:40]


def program_name_for_key(idempotency_key: str) -> str:
    """Return the name of a program created without one under a key."""
    return "key-" + hashlib.sha256(idempotency_key.encode()).hexdigest()[:40]


def single_call_name(identifier: str) -> str:
    """Return the name of a single-call program without an idempotency key."""
    return SINGLE_CALL_PREFIX + identifier


def is_single_call(program_id: ProgramId) -> bool:
    """Tell whether the program was made for one call."""
    return name_of(program_id).startswith(SINGLE_CALL_PREFIX)
