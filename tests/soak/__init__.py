"""A randomized soak test of real nodes on an emulated platform, with injected faults.

Run it as `python -m soak --seconds 120 --seed 7` in the folder `tests`. See docs/TESTING.md.
"""
