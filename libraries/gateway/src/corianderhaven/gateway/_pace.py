"""How long an engine takes, from its declared times."""

SHORTEST_ANSWER_TOKENS = 1
OBSERVED_WEIGHT = 0.05  # of one answer in the mean: some twenty answers back
MOST_EXTRA_MS = 400.0  # beyond it is a queue or a fault, not the engine's pace


class EnginePace:
    """Times of one model's replicas, as declared and corrected by what was observed.

    Parameters
    ----------
    engine : EngineSpec
    model : ModelSpec
    """

    def __init__(self, engine, model):
        self.engine = engine
        self.model = model
        self.observed_extra_ms = 0.0
        self.observed_taken_ms = None

    def note_first_event(self, predicted_ms, observed_ms):
        """Learn what a first event takes beyond the declared times."""
        extra_ms = observed_ms - (predicted_ms - self.observed_extra_ms)
        # A wait in the engine's own queue is no property of the engine.
        extra_ms = min(max(extra_ms, 0.0), MOST_EXTRA_MS)
        self.observed_extra_ms += OBSERVED_WEIGHT * (extra_ms - self.observed_extra_ms)

    def note_taken(self, taken_ms):
        """Learn how long an answer takes from its send to its end."""
        if self.observed_taken_ms is None:
            self.observed_taken_ms = taken_ms
        self.observed_taken_ms += OBSERVED_WEIGHT * (taken_ms - self.observed_taken_ms)

    def taken_ms(self):
        """Return how long an answer takes lately, or as declared before any was seen."""
        if self.observed_taken_ms is not None:
            return self.observed_taken_ms
        return self.answer_ms(self.engine.typical_answer_tokens, self.engine.slots)

    def step_ms(self, running, context_tokens=0.0):
        """Return the time of one token for each of `running` requests."""
        engine = self.engine
        context_k = context_tokens / 1_000.0
        per_request = engine.step_per_request_ms + engine.step_per_k_context_ms * context_k
        return (engine.step_ms + running * per_request) * self.model.time_factor

    def event_ms(self, running, context_tokens=0.0):
        """Return the usual time between two events of a stream."""
        return self.engine.tokens_per_event * self.step_ms(running, context_tokens)

    def chunk_ms(self):
        """Return the time that reading one full piece of a prompt adds to a step."""
        engine = self.engine
        return (
            engine.prefill_chunk_tokens
            * 1_000.0
            / engine.prefill_tokens_per_s
            * self.model.time_factor
        )

    def longest_event_ms(self, running):
        """Return the time between two events when each step also reads a full piece."""
        context = self.engine.typical_prompt_tokens + self.engine.typical_answer_tokens
        return self.event_ms(running, context) + self.engine.tokens_per_event * self.chunk_ms()

    def prefill_ms(self, prompt_tokens):
        """Return the time to read a prompt."""
        engine = self.engine
        pairs_m = prompt_tokens * prompt_tokens / 2.0 / 1e6
        read_ms = prompt_tokens * 1_000.0 / engine.prefill_tokens_per_s
        return (read_ms + engine.attention_ms_per_million_pairs * pairs_m) * self.model.time_factor

    def first_event_ms(self, prompt_tokens, running):
        """Return the time from a free slot to the first event."""
        declared_ms = self.prefill_ms(prompt_tokens) + self.event_ms(running)
        return declared_ms + self.observed_extra_ms

    def wait_ms(self, ahead):
        """Return the wait for a slot behind `ahead` requests of usual length."""
        slots = self.engine.slots
        beyond = max(0.0, ahead + 1 - slots)
        return beyond / slots * self.answer_ms(self.engine.typical_answer_tokens, slots)

    def answer_ms(self, tokens, running):
        """Return the time to write an answer."""
        return max(tokens, SHORTEST_ANSWER_TOKENS) * self.step_ms(running)
