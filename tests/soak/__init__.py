"""A randomized soak of real nodes on the users' platform, with faults from outside them.

`python -m soak --seconds 120 --seed 7` in this folder's parent. See docs/TESTING.md.
"""
