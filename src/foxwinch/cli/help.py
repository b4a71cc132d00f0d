"""Help texts: examples in the form that every command shows them."""


def examples(*lines: str) -> str:
    """Return a description that shows command lines as written."""
    return "Examples:\n\n" + "\n".join(f"    {line}" for line in lines) + "\n"
