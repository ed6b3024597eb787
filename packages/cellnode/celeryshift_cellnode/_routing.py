"""Finds the queue that a call belongs to."""

from collections.abc import Iterable

from celeryshift_cellnode import ports


class Router:
    """Routing table by host and longest path prefix."""

    def __init__(self, routes: Iterable[ports.Route]) -> None:
        self._routes_by_host: dict[str, list[ports.Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for candidates in self._routes_by_host.values():
            candidates.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> ports.Route | None:
        """Return the route of a call, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
