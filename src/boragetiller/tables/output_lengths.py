"""Typical output length of the requests of a route."""

from __future__ import annotations

import attrs

LATEST_WEIGHT = 0.02  # of the latest request, so about the last fifty determine the average


@attrs.define
class OutputLengths:
    """Moving average of the expected output tokens of the requests of each route."""

    by_route: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, output_tokens: float) -> None:
        """
        Add a request to the average of its route.

        :param route: name of the route
        :param output_tokens: expected output tokens of the request
        """
        average = self.by_route.get(route, output_tokens)
        self.by_route[route] = average + LATEST_WEIGHT * (output_tokens - average)

    def average(self, route: str) -> float:
        """
        Return the average of a route.

        :param route: name of the route
        :return: output tokens, 0 before the first request
        """
        return self.by_route.get(route, 0.0)

    def retain_routes(self, routes: set[str]) -> None:
        """
        Drop the averages of routes that are no longer configured.

        :param routes: names of the configured routes
        """
        self.by_route = {name: average for name, average in self.by_route.items() if name in routes}


__all__ = ["OutputLengths"]
