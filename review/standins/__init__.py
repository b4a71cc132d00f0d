"""Stand-ins for the platform, its workers and its clients, used by the review cases."""
