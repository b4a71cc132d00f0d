"""Which of a route's services takes the next request, so that each gets its weight's share.

Smooth weighted round robin: every service gains its weight each time, the richest is chosen and
pays the sum of all weights. Shares hold over any short run of requests.
"""

from foxwinch.core.routing.configuration import Route


class ServiceShares:
    """Balances by route and service."""

    def __init__(self) -> None:
        """Start with all balances even."""
        self._balances: dict[tuple[str, str], float] = {}

    def order(self, route: Route) -> list[str]:
        """Return the route's services, the one whose turn it is first; charges that one."""
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
