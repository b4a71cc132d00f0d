"""Plays drawn orders by hand and reduces each one that breaks the bound to what it needs for that.

`PYTHONHASHSEED=0 python tests/shrink_orders.py FIRST LAST` prints a line for each broken seed.
"""

import argparse
import asyncio
import logging
import multiprocessing
import random
import sys
from functools import partial
from typing import NamedTuple

import looptime

from fatal_orders import STEPS, FatalOrders, Step, draw_setting, draw_step

MAX_RUN_SECONDS = 600.0


class Order(NamedTuple):
    """What a run is made from."""

    steps: tuple[Step, ...]
    setting: object
    seed: int


def draw_order(seed):
    """Draw the order of a seed, as the tests do."""
    rng = random.Random(seed)
    setting = draw_setting(rng)
    return Order(tuple(draw_step(rng) for _ in range(STEPS)), setting, seed)


def play(order):
    """Return what broke in a run of an order, or None."""
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_play(order))
    finally:
        loop.close()


async def _play(order):
    orders = FatalOrders(order.steps, order.setting, order.seed)
    await asyncio.wait_for(orders.run(), MAX_RUN_SECONDS)
    try:
        orders.check_bound()
    except AssertionError:
        return f"ended={orders.ended} sent_after_bound={orders.sent_after_bound}"
    return None


def simpler_orders(order):
    """Yield the orders that lack one thing of an order."""
    for number in range(len(order.setting.events)):
        events = order.setting.events[:number] + order.setting.events[number + 1 :]
        yield order._replace(setting=order.setting._replace(events=events))
    for field, default in type(order.setting)._field_defaults.items():
        if field not in ("path", "events") and getattr(order.setting, field) != default:
            yield order._replace(setting=order.setting._replace(**{field: default}))
    for number, step in enumerate(order.steps):
        for field, default in Step._field_defaults.items():
            if getattr(step, field) != default:
                yield _with_step(order, number, step._replace(**{field: default}))


def _with_step(order, number, step):
    return order._replace(steps=(*order.steps[:number], step, *order.steps[number + 1 :]))


def shrink(order):
    """Return an order that breaks the bound and holds it without any one thing of it."""
    is_smaller = True
    while is_smaller:
        is_smaller = False
        for simpler in simpler_orders(order):
            if play(simpler) is not None:
                order, is_smaller = simpler, True
                break
    return order


def describe(order):
    """Return what differs from a plain order, on one line."""
    parts = []
    for field, default in type(order.setting)._field_defaults.items():
        if field not in ("path", "events") and getattr(order.setting, field) != default:
            parts.append(f"{field}={getattr(order.setting, field)}")
    parts += [f"{e.fault}@{e.at_seconds:.1f}+{e.lasts_seconds:.1f}" for e in order.setting.events]
    for number, step in enumerate(order.steps):
        changed = {
            field: getattr(step, field)
            for field, default in Step._field_defaults.items()
            if getattr(step, field) != default
        }
        if changed:
            named = ", ".join(f"{field}={value}" for field, value in changed.items())
            parts.append(f"#{number}({named})")
    return " ".join(parts)


def _examine(is_shrunk, seed):
    logging.disable(logging.CRITICAL)
    order = draw_order(seed)
    broken = play(order)
    if broken is None:
        return None
    return f"{seed}: {broken} {describe(shrink(order) if is_shrunk else order)}"


def main():
    """Play the orders of a range of seeds; end with 1 if one breaks the bound."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--no-shrink", action="store_true")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.last + 1)
    broken = 0
    with multiprocessing.Pool(arguments.jobs, maxtasksperchild=10) as pool:
        for line in pool.imap(partial(_examine, not arguments.no_shrink), seeds):
            if line is not None:
                broken += 1
                print(line, flush=True)
    print(f"{broken} of {len(seeds)} orders break the bound")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
