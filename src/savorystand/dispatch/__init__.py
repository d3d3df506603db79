"""Dispatch of calls: idempotency keys, attempts, hedging and admission."""
