"""Stand-ins for engines, tools and the platform, over HTTP or on virtual time."""
