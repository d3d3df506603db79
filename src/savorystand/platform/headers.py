"""Header names of the platform, in lower case."""

from __future__ import annotations

REQUEST_ID = 'request-id'
# Milliseconds, counted from sending, for which the client waits.
DEADLINE = 'deadline-ms'
# Service on whose machine the request originated.
CALLER_SERVICE = 'caller-service'
# Instance of the worker that may run the request; a restart changes it.
EXPECTED_INSTANCE = 'expected-instance'
# Set in a refusal: the worker has not run the request and will not.
NOT_RUN = 'not-executed'
# Set in responses: running and waiting requests, slots and speed of the
# worker's machine.
LOAD = 'server-load'
RETRY_AFTER = 'retry-after'
