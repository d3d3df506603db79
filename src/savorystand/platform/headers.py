"""Header names of the platform, in lower case."""

from __future__ import annotations

REQUEST_ID = 'request-id'
# Milliseconds that the client waits from when it sent the request.
DEADLINE = 'deadline-ms'
# Service of the machine where the request began.
CALLER_SERVICE = 'caller-service'
# The one life of a worker that may run the request.
EXPECTED_INSTANCE = 'expected-instance'
# In a worker's refusal: it has not run the request and will not.
NOT_RUN = 'not-executed'
# In a worker's answer: running, waiting, slots and pace of its machine.
LOAD = 'server-load'
RETRY_AFTER = 'retry-after'
