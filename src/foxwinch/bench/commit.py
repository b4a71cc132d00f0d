"""Commit id of the measured source tree."""

import subprocess
from pathlib import Path

UNKNOWN = "unknown"


def current_commit() -> str:
    """Return the short commit id of the source tree, followed by `+` if files have changed."""
    root = Path(__file__).parent
    commit = _git(root, "rev-parse", "--short", "HEAD")
    if commit is None:
        return UNKNOWN
    changed = _git(root, "status", "--porcelain", "--untracked-files=no", "--", ".")
    return f"{commit}+" if changed else commit


def _git(directory: Path, *arguments: str) -> str | None:
    try:
        completed = subprocess.run(
            ["git", *arguments], cwd=directory, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return None
    return completed.stdout.strip()
