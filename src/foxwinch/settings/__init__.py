"""Models and loaders of process settings and of the cluster configuration."""
