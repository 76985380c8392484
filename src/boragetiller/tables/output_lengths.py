"""How long the answers of a route usually are."""

from __future__ import annotations

import attrs

NEWEST_WEIGHT = 0.02  # of the latest request; the last fifty or so decide


@attrs.define
class OutputLengths:
    """Expected output tokens, averaged over the latest requests of each route."""

    by_route: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, output_tokens: float) -> None:
        """
        Note a request.

        :param route: name of its route
        :param output_tokens: expected length of its answer
        """
        usual = self.by_route.get(route, output_tokens)
        self.by_route[route] = usual + NEWEST_WEIGHT * (output_tokens - usual)

    def average(self, route: str) -> float:
        """
        Tell the usual length.

        :param route: name of the route
        :return: tokens, 0 before the first request
        """
        return self.by_route.get(route, 0.0)

    def retain_routes(self, routes: set[str]) -> None:
        """
        Forget the routes that are gone.

        :param routes: names of those in force
        """
        self.by_route = {name: usual for name, usual in self.by_route.items() if name in routes}


__all__ = ["OutputLengths"]
