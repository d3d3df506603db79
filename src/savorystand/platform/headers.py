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
# Set in responses of a worker in need: the requests a second that it takes
# from all nodes together, as a decimal number.
RATE_LIMIT = 'server-limit'
# Set to 1 in all responses of a worker that leaves.
LEAVING = 'server-leaving'
# Set in all responses of the store: how often it has come back from a copy.
STORE_GENERATION = 'store-era'
RETRY_AFTER = 'retry-after'
