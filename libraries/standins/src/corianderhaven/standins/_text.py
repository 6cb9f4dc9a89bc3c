"""The text that the stand-in engines generate."""

import hashlib


def prompt_tag(prompt):
    """Return a short hash of the prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()


def token_text(tag, index):
    """Return token `index` of the answer to the prompt with `tag`."""
    return f"{tag}-{index} "


def expected_text(prompt, tokens):
    """Return the whole answer of `tokens` tokens to `prompt`."""
    tag = prompt_tag(prompt)
    return "".join(token_text(tag, index) for index in range(tokens))


def chat_prompt(messages):
    """Return the prompt text of chat messages."""
    return "".join(f"{message['role']}: {message['content']}\n" for message in messages)
