"""Lookup of the route, client account and service of a request."""

import random
from collections import defaultdict


class RouteTable:
    """Index of the routes and API keys of one configuration.

    Parameters
    ----------
    config : FleetConfig
    """

    def __init__(self, config):
        self.config = config
        routes_by_host = defaultdict(list)
        for route in config.routes:
            routes_by_host[route.host].append(route)
        self.routes_by_host = {
            host: sorted(routes, key=lambda r: -len(r.path_prefix))
            for host, routes in routes_by_host.items()
        }
        self.accounts_by_key = {key: account for account in config.accounts for key in account.keys}

    def match(self, host, path):
        """Return the route of `host` with the longest prefix of `path`, or None."""
        name = host.lower().rsplit(":", 1)[0] if ":" in host else host.lower()
        routes = self.routes_by_host.get(name, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def find_account(self, key):
        """Return the `Account` that owns `key`, or None."""
        return self.accounts_by_key.get(key) if key else None

    def choose_service(self, route):
        """Return the `ServiceSpec` of a service of the route, chosen at random by weight."""
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        name = names[0] if len(names) == 1 else random.choices(names, weights)[0]
        return self.config.services.get(name)
