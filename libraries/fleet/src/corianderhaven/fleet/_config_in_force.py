"""The operator's configuration in force; it never goes back."""


class ActiveConfig:
    """Holds the configuration of the highest version seen.

    Parameters
    ----------
    decode : callable
        Turns bytes into a `FleetConfig`; raises ValueError.
    decisions : DecisionLog
    """

    def __init__(self, decode, decisions):
        self.decode = decode
        self.decisions = decisions
        self.config = None
        self.listeners = []

    def offer(self, value, revision):
        """Adopt a configuration unless it is older than the one in force."""
        try:
            config = self.decode(value)
        except ValueError as error:
            self.decisions.record("config_unreadable", revision=revision, reason=str(error))
            return False
        in_force = self.config.version if self.config else None
        if in_force is not None and config.version <= in_force:
            return False
        self.config = config
        self.decisions.record(
            "config_in_force", version=config.version, previous=in_force, revision=revision
        )
        for listener in self.listeners:
            listener(config)
        return True
