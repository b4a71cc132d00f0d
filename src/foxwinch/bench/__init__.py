"""Load, experiments, baselines and reports; nothing that is deployed imports this package."""
