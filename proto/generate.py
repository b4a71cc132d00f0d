"""Generate the committed code under src/foxwinch/_generated from the schemas under proto/."""

import sys
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).parent
OUTPUT = ROOT.parent / "src"


def main() -> int:
    """Run the protobuf compiler over every schema; returns its exit code."""
    schemas = sorted(str(path.relative_to(ROOT)) for path in ROOT.rglob("*.proto"))
    return int(
        protoc.main(
            [
                "protoc",
                f"--proto_path={ROOT}",
                f"--python_out={OUTPUT}",
                f"--mypy_out=quiet:{OUTPUT}",
                f"--grpclib_python_out={OUTPUT}",
                *schemas,
            ]
        )
    )


if __name__ == "__main__":
    sys.exit(main())
