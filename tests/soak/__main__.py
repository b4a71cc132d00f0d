"""`python -m soak`, in the folder `tests`."""

import argparse
import random
import sys

from soak.run import run_soak


def main() -> int:
    """Run soaks with fresh seeds, or one with the seed that is given."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="faults for so long, a soak")
    parser.add_argument("--seed", type=int, help="one soak with this seed")
    parser.add_argument("--soaks", type=int, default=1, help="soaks with fresh seeds")
    options = parser.parse_args()
    broken = 0
    for _ in range(options.soaks):
        seed = options.seed if options.seed is not None else random.SystemRandom().randrange(10**6)
        verdict = run_soak(options.seconds, seed)
        print(f"seed {seed}: {len(verdict.faults)} faults, {verdict.outcomes}")
        if verdict.broken:
            broken += 1
            print(f"  BROKEN, logs in {verdict.folder}")
            print("  faults:", "; ".join(verdict.faults))
            print("\n".join(f"  {line}" for line in verdict.broken[:20]))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
