"""Work of a request at an engine: prompt tokens to prefill, and tokens held in its memory."""

from dataclasses import dataclass


@dataclass(eq=False)
class RequestWork:
    """Work that one request brings to an engine.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt, which the engine prefills before the first event.
    answer_tokens : int
        Expected length of the answer.
    in_prefill : bool
        Whether the prompt counts as not yet prefilled; it does until the answer begins.
    """

    prompt_tokens: int = 0
    answer_tokens: int = 0
    in_prefill: bool = True

    @property
    def held_tokens(self):
        """Tokens that the request holds in the engine's memory when its answer is complete."""
        return self.prompt_tokens + self.answer_tokens
