"""Request routing: routes, services, worker state and worker selection."""
