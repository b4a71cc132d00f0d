"""`python -m soak`, in the folder `tests`."""

import argparse
import random
import sys

from soak.run import Plan, run_soak


def main() -> int:
    """Run soaks with fresh seeds, or one with the seed that is given."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="faults for so long, a soak")
    parser.add_argument("--seed", type=int, help="the first seed; the next ones follow it")
    parser.add_argument("--soaks", type=int, default=1, help="soaks, with fresh seeds by default")
    parser.add_argument("--nodes", type=int, default=4, help="processes of each soak")
    options = parser.parse_args()
    broken = 0
    for number in range(options.soaks):
        fresh = random.SystemRandom().randrange(10**6)
        seed = fresh if options.seed is None else options.seed + number
        verdict = run_soak(Plan(seed, options.seconds, options.nodes))
        print(
            f"seed {seed}: {'BROKEN' if verdict.broken else 'held'}, {options.nodes} nodes, "
            f"{len(verdict.faults)} faults, {verdict.versions} versions, "
            f"lag {verdict.lag_seconds:.2f} s, {verdict.outcomes}",
            flush=True,
        )
        if verdict.broken:
            broken += 1
            print(f"  logs in {verdict.folder}")
            print("  faults:", "; ".join(verdict.faults))
            print("\n".join(f"  {line}" for line in verdict.broken[:20]), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
