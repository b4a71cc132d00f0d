"""Formatting of command help texts."""


def examples(*lines: str) -> str:
    """Return a command description that lists example command lines verbatim."""
    return "Examples:\n\n" + "\n".join(f"    {line}" for line in lines) + "\n"
