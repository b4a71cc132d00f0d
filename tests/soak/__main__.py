"""Command line of the soak test: `python -m soak`, in the folder `tests`."""

import argparse
import random
import sys

from soak.run import Plan, run_soak


def main() -> int:
    """Run the soaks and return 1 if any of them violated an invariant, else 0."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="duration of the faults in each soak"
    )
    parser.add_argument("--seed", type=int, help="seed of the first soak; each next soak adds 1")
    parser.add_argument(
        "--soaks", type=int, default=1, help="number of soaks, with random seeds by default"
    )
    parser.add_argument(
        "--nodes", type=int, default=4, help="number of node processes in each soak"
    )
    options = parser.parse_args()
    failed_soaks = 0
    for number in range(options.soaks):
        random_seed = random.SystemRandom().randrange(10**6)
        seed = random_seed if options.seed is None else options.seed + number
        result = run_soak(Plan(seed, options.seconds, options.nodes))
        print(
            f"seed {seed}: {'BROKEN' if result.violations else 'held'}, {options.nodes} nodes, "
            f"{len(result.faults)} faults, {result.versions} versions, "
            f"lag {result.lag_seconds:.2f} s, {result.outcomes}",
            flush=True,
        )
        if result.violations:
            failed_soaks += 1
            print(f"  logs in {result.folder}")
            print("  faults:", "; ".join(result.faults))
            print("\n".join(f"  {line}" for line in result.violations[:20]), flush=True)
    return 1 if failed_soaks else 0


if __name__ == "__main__":
    sys.exit(main())
