"""The deterministic answers of the model engine, so that anyone can check them."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import frozen

LEAST_TOKENS = 8
MOST_TOKENS = 64
DIGEST_BYTES = 8


def words_of(messages: Any) -> tuple[str, ...]:
    """Return the words of all message contents; one word is one token here."""
    texts = [str(message.get("content", "")) for message in messages]
    return tuple(" ".join(texts).split())


def prompt_digest(model: str, words: tuple[str, ...]) -> str:
    """Identify a prompt."""
    text = f"{model}\0{' '.join(words)}"
    return hashlib.sha256(text.encode()).hexdigest()


@frozen
class Answer:
    """The one answer of a prompt, whichever engine gives it.

    Attributes:
        digest: Identifies the prompt.
        least: The shortest answer, in tokens.
        most: The longest answer, in tokens.
    """

    digest: str
    least: int = LEAST_TOKENS
    most: int = MOST_TOKENS

    @property
    def length(self) -> int:
        """How many tokens the answer has when no bound cuts it."""
        chance = int(self.digest[:DIGEST_BYTES], 16)
        return self.least + chance % (self.most - self.least + 1)

    def token(self, index: int) -> str:
        """Return one token; the indices count from 0."""
        digest = hashlib.sha256(f"{self.digest}/{index}".encode()).hexdigest()
        return f"{digest[:DIGEST_BYTES]} "

    def text(self, max_tokens: int) -> str:
        """Return the whole answer under a bound on its tokens."""
        return self.first(min(self.length, max_tokens))

    def first(self, count: int) -> str:
        """Return the first tokens, whatever the answer's own length."""
        return "".join(self.token(index) for index in range(count))


def expected_text(model: str, messages: Any, max_tokens: int) -> str:
    """Return the answer that every engine gives to a prompt.

    >>> question = [{"role": "user", "content": "is the oak dry"}]
    >>> len(expected_text("assistant", question, 5).split())
    5
    """
    return Answer(prompt_digest(model, words_of(messages))).text(max_tokens)
