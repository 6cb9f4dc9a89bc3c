"""How long an engine takes, from its declared times."""

SHORTEST_ANSWER_TOKENS = 1


class EnginePace:
    """Times of one model's replicas when `running` requests share a batch.

    Parameters
    ----------
    engine : EngineSpec
    model : ModelSpec
    """

    def __init__(self, engine, model):
        self.engine = engine
        self.model = model

    def step_ms(self, running, context_tokens=0.0):
        """Return the time of one token for each of `running` requests."""
        engine = self.engine
        context_k = context_tokens / 1_000.0
        per_request = engine.step_per_request_ms + engine.step_per_k_context_ms * context_k
        return (engine.step_ms + running * per_request) * self.model.pace

    def event_ms(self, running, context_tokens=0.0):
        """Return the usual time between two events of a stream."""
        return self.engine.stride * self.step_ms(running, context_tokens)

    def chunk_ms(self):
        """Return the time that reading one full piece of a prompt adds to a pass."""
        engine = self.engine
        return engine.prefill_chunk * 1_000.0 / engine.prefill_per_s * self.model.pace

    def longest_event_ms(self, running):
        """Return the time between two events when each pass also reads a full piece."""
        context = self.engine.usual_prompt + self.engine.usual_answer
        return self.event_ms(running, context) + self.chunk_ms()

    def prefill_ms(self, prompt_tokens):
        """Return the time to read a prompt."""
        engine = self.engine
        pairs_m = prompt_tokens * prompt_tokens / 2.0 / 1e6
        read_ms = prompt_tokens * 1_000.0 / engine.prefill_per_s
        return (read_ms + engine.prefill_pairs_ms_per_m * pairs_m) * self.model.pace

    def first_event_ms(self, prompt_tokens, running):
        """Return the time from a free slot to the first event."""
        return self.prefill_ms(prompt_tokens) + 2.0 * self.event_ms(running)

    def wait_ms(self, ahead):
        """Return the wait for a slot behind `ahead` requests of usual length."""
        slots = self.engine.slots
        beyond = max(0.0, ahead + 1 - slots)
        return beyond / slots * self.answer_ms(self.engine.usual_answer, slots)

    def answer_ms(self, tokens, running):
        """Return the time to write an answer."""
        return max(tokens, SHORTEST_ANSWER_TOKENS) * self.step_ms(running)
