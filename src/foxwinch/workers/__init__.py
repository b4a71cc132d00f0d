"""Coordinators of workers: grants, orders, drains, and the cache that they hold."""
