"""Retry budget: limits retries to a share of the requests to avoid retry storms."""

from __future__ import annotations


RETRY_SHARE = 0.1
FLOOR_TOKENS_PER_S = 1.0
MAX_TOKENS = 50.0


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Each request adds a tenth of a token. A floor of one retry per second keeps
    retries possible in a router with little traffic; it fills up to
    ``floor_tokens``, which should cover the requests in flight on one upstream.
    """

    def __init__(self, now: float, floor_tokens: float = 1.0) -> None:
        self.floor_tokens = floor_tokens
        self.tokens = floor_tokens
        self.updated_at = now

    def on_request(self, now: float) -> None:
        """Count a first attempt."""
        self._refill(now)
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def try_spend(
        self,
        now: float,
        deadline_at: float,
        expected_attempt_s: float,
        already_retried: bool = False,
    ) -> bool:
        """Return whether one retry may be sent, and spend its token.

        There is no retry if the remaining time is shorter than the expected
        duration of an attempt. A request that another router already sent as a
        retry is not retried again, because attempts would multiply per hop.
        """
        self._refill(now)
        if already_retried or deadline_at - now < expected_attempt_s or self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        # The floor must not accumulate without bound while the router is idle.
        if self.tokens < self.floor_tokens:
            refilled = self.tokens + elapsed_s * FLOOR_TOKENS_PER_S
            self.tokens = min(self.floor_tokens, refilled)
