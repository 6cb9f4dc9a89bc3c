"""Which route and client account a request belongs to."""

import random
from collections import defaultdict


class RouteTable:
    """Routes and keys of one configuration, indexed.

    Parameters
    ----------
    config : FleetConfig
    """

    def __init__(self, config):
        self.config = config
        by_host = defaultdict(list)
        for route in config.routes:
            by_host[route.host].append(route)
        self.by_host = {
            host: sorted(routes, key=lambda r: -len(r.path_prefix))
            for host, routes in by_host.items()
        }
        self.accounts = {key: account for account in config.accounts for key in account.keys}

    def match(self, host, path):
        """Return the route of `host` with the longest prefix of `path`, or None."""
        name = host.lower().rsplit(":", 1)[0] if ":" in host else host.lower()
        routes = self.by_host.get(name, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def account(self, key):
        """Return the `Account` that holds `key`, or None."""
        return self.accounts.get(key) if key else None

    def service(self, route):
        """Return the `ServiceSpec` of one of the route's services, drawn by weight."""
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        name = names[0] if len(names) == 1 else random.choices(names, weights)[0]
        return self.config.services.get(name)
