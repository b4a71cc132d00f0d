"""Coordinators of workers: grants, model orders, drains and cache transfers."""
