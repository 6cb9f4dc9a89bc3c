"""Active operator configuration; its version only increases."""


class ActiveConfig:
    """Holds the configuration with the highest version received so far.

    Parameters
    ----------
    decode : callable
        Decodes bytes to a `FleetConfig`; raises ValueError if it can't.
    decisions : DecisionLog
    """

    def __init__(self, decode, decisions):
        self.decode = decode
        self.decisions = decisions
        self.config = None
        self.value = b""
        self.listeners = []

    @property
    def version(self):
        """Version of the active configuration; 0 without one."""
        return self.config.version if self.config is not None else 0

    def update(self, value, revision):
        """Adopt a configuration if it is newer than the active one; return whether it was.

        Parameters
        ----------
        revision : int or None
            Revision of the store, None if a peer passed the configuration on.
        """
        try:
            config = self.decode(value)
        except ValueError as error:
            self.decisions.record("config_unreadable", revision=revision, reason=str(error))
            return False
        current_version = self.config.version if self.config else None
        if current_version is not None and config.version <= current_version:
            return False
        self.config = config
        self.value = value
        self.decisions.record(
            "config_in_force", version=config.version, previous=current_version, revision=revision
        )
        for listener in self.listeners:
            listener(config)
        return True
