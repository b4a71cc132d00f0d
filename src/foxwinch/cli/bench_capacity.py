"""`foxwinch bench capacity`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.help import examples


@cappa.command(
    name="capacity",
    help="Write docs/CAPACITY.md from the committed measurements.",
    description=examples("foxwinch bench capacity"),
)
@dataclass(kw_only=True)
class CapacityCommand:
    """Write docs/CAPACITY.md from the committed measurements."""

    measurements: Annotated[
        Path, cappa.Arg(long="--measurements", help="Directory of the JSON files")
    ] = Path("docs/measurements")
    page: Annotated[Path, cappa.Arg(long="--page", help="Page to write")] = Path("docs/CAPACITY.md")

    def __call__(self) -> None:
        """Write the page."""
        from foxwinch.bench.capacity.page import render

        self.page.write_text(render(self.measurements), encoding="utf-8")
