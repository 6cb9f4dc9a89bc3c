"""Deterministic text that the stand-in engines generate."""

import hashlib


def hash_prompt(prompt):
    """Return a short hash of the prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()


def token_text(prompt_hash, index):
    """Return token `index` of the answer to the prompt with hash `prompt_hash`."""
    return f"{prompt_hash}-{index} "


def expected_text(prompt, tokens):
    """Return the complete answer to `prompt`, `tokens` tokens long."""
    prompt_hash = hash_prompt(prompt)
    return "".join(token_text(prompt_hash, index) for index in range(tokens))


def chat_prompt(messages):
    """Return the prompt text of chat messages."""
    return "".join(f"{message['role']}: {message['content']}\n" for message in messages)
