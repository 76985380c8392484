"""The route of a request, among few and many."""

from __future__ import annotations

import unittest
from random import Random

import tests.platform_path  # noqa: F401
from boragetiller.errors import NotFound
from boragetiller.systems.routing import find_route
from boragetiller.tables.routes import CallerLimits, RequestKind, Route, RouteConfig

LIMITS = CallerLimits(
    max_header_bytes=1, max_body_bytes=1, header_timeout_ms=1.0, idle_timeout_ms=1.0
)


def build_route(name: str, host: str, prefix: str) -> Route:
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        kind=RequestKind.IDEMPOTENT,
        timeout_ms=1.0,
        target_ms=1.0,
        gap_target_ms=0.0,
        tier=0,
        weighted_groups=(),
        max_attempts=1,
        public=False,
        resumable=False,
        for_engine=False,
    )


def build_routes(*routes: Route) -> RouteConfig:
    return RouteConfig(version=1, routes=routes, groups={}, limits=LIMITS, customers_by_key=None)


class FindRouteTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_is_chosen(self) -> None:
        config = build_routes(
            build_route("root", "a", "/"),
            build_route("short", "a", "/x/"),
            build_route("long", "a", "/x/y/"),
            build_route("other", "b", "/x/y/z/"),
            build_route("second", "a", "/x/"),
        )
        for path, name in (("/x/y/z/", "long"), ("/x/yz", "short"), ("/x", "root"), ("/", "root")):
            self.assertEqual(find_route(config, "a", path).name, name, path)
        for host, path in (("b", "/x/y/"), ("c", "/"), ("a", ""), ("a", "x")):
            with self.assertRaises(NotFound):
                find_route(config, host, path)

    def test_choice_among_many_is_that_of_a_search(self) -> None:
        rng = Random(4)
        hosts, parts = ("a", "b"), ("x", "y", "xy")

        def draw_prefix() -> str:
            return "/" + "".join(f"{rng.choice(parts)}/" for _ in range(rng.randrange(4)))

        routes = [build_route(str(n), rng.choice(hosts), draw_prefix()) for n in range(40)]
        config = build_routes(*routes)
        for _ in range(400):
            host, path = rng.choice(hosts), draw_prefix() + rng.choice(("", "x", "xy/y"))
            found = [r for r in routes if r.host == host and path.startswith(r.path_prefix)]
            if found:
                longest = max(found, key=lambda route: len(route.path_prefix))
                self.assertEqual(find_route(config, host, path), longest, (host, path))


if __name__ == "__main__":
    unittest.main()
