"""Rate limits of tenants and classes, divided among the nodes by leased shares."""
