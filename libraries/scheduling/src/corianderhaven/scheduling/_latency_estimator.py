"""Estimates of an engine's latencies."""

MIN_OUTPUT_TOKENS = 1
OBSERVATION_WEIGHT = 0.05  # of one answer in the moving average, which spans about twenty
MAX_OVERHEAD_MS = 400.0  # a longer delay comes from a queue or a fault, not from the engine


class LatencyEstimator:
    """Estimates latencies of one model's replicas from declared and observed times.

    Parameters
    ----------
    engine : EngineSpec
    model : ModelSpec
    """

    def __init__(self, engine, model):
        self.engine = engine
        self.model = model
        self.observed_overhead_ms = 0.0
        self.observed_duration_ms = None

    def record_first_event(self, predicted_ms, observed_ms):
        """Update the overhead of a first event over the declared times."""
        overhead_ms = observed_ms - (predicted_ms - self.observed_overhead_ms)
        # Excludes waiting in the engine's queue, which is not part of its own latency.
        overhead_ms = min(max(overhead_ms, 0.0), MAX_OVERHEAD_MS)
        self.observed_overhead_ms += OBSERVATION_WEIGHT * (overhead_ms - self.observed_overhead_ms)

    def record_duration(self, duration_ms):
        """Update the mean time from the send of a request to the end of its answer."""
        if self.observed_duration_ms is None:
            self.observed_duration_ms = duration_ms
        self.observed_duration_ms += OBSERVATION_WEIGHT * (duration_ms - self.observed_duration_ms)

    def duration_ms(self):
        """Return the mean time of an answer, or the declared one before any is observed."""
        if self.observed_duration_ms is not None:
            return self.observed_duration_ms
        return self.decode_ms(self.engine.typical_answer_tokens, self.engine.slots)

    def step_ms(self, running, context_tokens=0.0):
        """Return the time of one decode step with `running` requests in the batch."""
        engine = self.engine
        context_k = context_tokens / 1_000.0
        per_request = engine.step_per_request_ms + engine.step_per_k_context_ms * context_k
        return (engine.step_ms + running * per_request) * self.model.time_factor

    def event_interval_ms(self, running, context_tokens=0.0):
        """Return the usual time between two events of a stream."""
        return self.engine.tokens_per_event * self.step_ms(running, context_tokens)

    def prefill_chunk_ms(self):
        """Return the time that one full prefill chunk adds to a step."""
        engine = self.engine
        return (
            engine.prefill_chunk_tokens
            * 1_000.0
            / engine.prefill_tokens_per_s
            * self.model.time_factor
        )

    def max_event_interval_ms(self, running):
        """Return the time between two events when each step also prefills a full chunk."""
        context = self.engine.typical_prompt_tokens + self.engine.typical_answer_tokens
        return (
            self.event_interval_ms(running, context)
            + self.engine.tokens_per_event * self.prefill_chunk_ms()
        )

    def prefill_ms(self, prompt_tokens):
        """Return the time to prefill a prompt."""
        engine = self.engine
        million_pairs = prompt_tokens * prompt_tokens / 2.0 / 1e6
        linear_ms = prompt_tokens * 1_000.0 / engine.prefill_tokens_per_s
        return (
            linear_ms + engine.attention_ms_per_million_pairs * million_pairs
        ) * self.model.time_factor

    def first_event_ms(self, prompt_tokens, running):
        """Return the time from the start in a free slot to the first event."""
        declared_ms = self.prefill_ms(prompt_tokens) + self.event_interval_ms(running)
        return declared_ms + self.observed_overhead_ms

    def queue_wait_ms(self, ahead):
        """Return the wait for a slot behind `ahead` requests of typical length."""
        slots = self.engine.slots
        excess = max(0.0, ahead + 1 - slots)
        return excess / slots * self.decode_ms(self.engine.typical_answer_tokens, slots)

    def decode_ms(self, tokens, running):
        """Return the time to generate an answer of `tokens`."""
        return max(tokens, MIN_OUTPUT_TOKENS) * self.step_ms(running)
