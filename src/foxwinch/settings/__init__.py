"""Process settings and the cluster configuration, typed and checked."""
