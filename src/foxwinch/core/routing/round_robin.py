"""Smooth weighted round robin over the services of a route.

With each request every service's balance grows by its weight; the service with the highest balance
is chosen and charged the sum of all weights. The shares also hold over short runs of requests.
"""

from foxwinch.core.routing.configuration import Route


class WeightedRoundRobin:
    """Round-robin balances by route and service."""

    def __init__(self) -> None:
        """Start with all balances at zero."""
        self._balances: dict[tuple[str, str], float] = {}

    def services_by_turn(self, route: Route) -> list[str]:
        """Return the route's services by descending balance and charge the first one."""
        if len(route.backends) == 1:
            return [route.backends[0].service]
        total = 0.0
        ranked: list[tuple[float, str]] = []
        for backend in route.backends:
            key = (route.name, backend.service)
            self._balances[key] = self._balances.get(key, 0.0) + backend.weight
            total += backend.weight
            if backend.weight > 0:
                ranked.append((self._balances[key], backend.service))
        if not ranked:
            return []
        ranked.sort(key=lambda entry: -entry[0])
        self._balances[(route.name, ranked[0][1])] -= total
        return [service for _, service in ranked]
