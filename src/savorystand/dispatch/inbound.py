"""Serves calls that are addressed to the local target."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error
from expression import Result

from savorystand.admission.queue import AdmissionQueue
from savorystand.admission.queue import Permit
from savorystand.admission.rate_limit import RateLimit
from savorystand.call import Importance
from savorystand.clock import Clock
from savorystand.dispatch.keyed import KeyedCalls
from savorystand.dispatch.local_pool import LocalPool
from savorystand.dispatch.target_notices import TargetNotices
from savorystand.gateway.target import TargetSender
from savorystand.reporting.observer import find_observer
from savorystand.retry.executions import Execution
from savorystand.retry.executions import ExecutionRegistry
from savorystand.routing.downstream_overload import DownstreamOverload
from savorystand.tables.holder import TablesHolder
from savorystand.tables.route import Route
from savorystand.verdict import NotRun
from savorystand.verdict import Reason

if TYPE_CHECKING:
    from savorystand.call import Call
    from savorystand.call import Outcome
    from savorystand.call import TargetLoad
    from savorystand.gateway.target import TargetBinding
    from savorystand.kernel.kernel import Kernel


# Responses within this time carry the same load report.
_LOAD_CACHE_MS = 10


class Inbound:
    """Admits calls, sends them to the target and tracks their retries."""

    __slots__ = (
        '_admission',
        '_any_route',
        '_clock',
        '_downstream',
        '_executions',
        '_kernel',
        '_load',
        '_load_read_ms',
        '_observer',
        '_local_pool',
        '_rate_limit',
    )

    def __init__(self, *, kernel: Kernel, any_route: bool = False) -> None:
        """Use the admission queue, executions and target of ``kernel``.

        With ``any_route``, calls on routes that the current tables do not
        list are served as well: the sender may have a newer revision.
        """
        self._kernel = kernel
        self._any_route = any_route
        self._local_pool = kernel.find('local pool', LocalPool)
        self._downstream = kernel.find(
            'downstream overload', DownstreamOverload
        )
        self._admission = kernel.find('admission', AdmissionQueue)
        self._rate_limit = kernel.find('rate limit', RateLimit)
        self._executions = kernel.find('executions', ExecutionRegistry)
        self._clock = kernel.find('clock', Clock)
        self._observer = find_observer(kernel)
        self._load = self._admission.load()
        self._load_read_ms = self._clock.now()

    def route(self, name: str) -> Route | None:
        """Return the route called ``name``, None if it is not served."""
        route = self._kernel.find('tables', TablesHolder).current().route(name)
        if route is None and self._any_route:
            return _unlisted_route(name)
        return route

    def load(self) -> TargetLoad:
        """Return the load of the local target, at most 10 ms old.

        Its rate limit and departure are the current ones: the response that
        names them may be the last that the sender gets from this node.
        """
        now = self._clock.now()
        rate_limit = self._rate_limit.current()
        leaving = self._local_pool.leaving
        if (
            now - self._load_read_ms > _LOAD_CACHE_MS
            or self._load.rate_limit != rate_limit
            or self._load.leaving is not leaving
        ):
            self._load = self._admission.load()
            self._load.rate_limit = rate_limit
            self._load.leaving = leaving
            self._load_read_ms = now
        return self._load

    async def serve(self, call: Call) -> Outcome:
        """Serve a call; cancellation means that its sender has given it up."""
        if call.to_home:
            # A peer forwarded the call to the home of its key, the only node
            # that runs requests with it.
            keys = self._kernel.find('keys', KeyedCalls)
            return await keys.serve_home(call)
        if call.hint is not None:
            self._kernel.find('notices', TargetNotices).assume(call.hint)
        binding = self._local_pool.bind(call.route.pool)
        if binding is None:
            # The address was reassigned to a target of another pool.
            pool = call.route.pool
            detail = f'the local target does not serve pool {pool}'
            remaining_retries = call.context.retries_left
            return Error(
                NotRun(
                    reason=Reason.DRAINING,
                    detail=detail,
                    retries_left=remaining_retries,
                )
            )
        arrived_ms = self._clock.now()
        admitted = await self._admit(call)
        waited_ms = self._clock.now() - arrived_ms
        match admitted:
            case Permit():
                self._observer.on_admission(call, None, waited_ms)
                return await self._run(call, admitted, binding)
            case NotRun():
                self._observer.on_admission(call, admitted, waited_ms)
                # The target did not run, so no retries were used.
                remaining_retries = call.context.retries_left
                return Error(replace(admitted, retries_left=remaining_retries))

    async def _admit(self, call: Call) -> Permit | NotRun:
        # Checked before the queue, since a call that cannot start soon is
        # better served by another target, and again when it starts.
        importance = call.context.importance
        refusal = self._rate_limit.refusal(importance)
        if refusal is not None:
            return refusal
        admitted = await self._admission.admit(call)
        match admitted:
            case Permit():
                refusal = self._rate_limit.refusal(importance)
                if refusal is None:
                    self._rate_limit.record_start(call)
                    return admitted
                self._admission.release(admitted, answered=False)
                return refusal
            case NotRun():
                return admitted

    async def _run(
        self, call: Call, permit: Permit, binding: TargetBinding
    ) -> Outcome:
        target = self._kernel.find('target', TargetSender)
        execution = self._executions.open(call.context, call.route.name)
        answered = False
        refused = False
        try:
            outcome = await target.send(call, execution.execution_id, binding)
            self._record_contact(outcome)
            answered = outcome.is_ok()
            refused = _is_target_refusal(outcome)
        finally:
            self._executions.close(execution)
            self._admission.release(permit, answered=answered, refused=refused)
        return self._with_remaining_retries(outcome, execution)

    def _record_contact(self, outcome: Outcome) -> None:
        match outcome:
            case Result(tag='error', error=NotRun(reason=Reason.TARGET_FAILED)):
                self._local_pool.record_unreachable()
            case _:
                self._local_pool.record_reached()

    def _response_load(self, route: str) -> TargetLoad:
        load = self.load()
        downstream_rank = self._downstream.pressed_rank(route)
        if downstream_rank <= load.pressed_rank:
            return load
        return replace(load, pressed_rank=downstream_rank)

    def _with_remaining_retries(
        self, outcome: Outcome, execution: Execution
    ) -> Outcome:
        remaining_retries = execution.retries_left
        match outcome:
            case Result(tag='ok', ok=response):
                # The response belongs to this call alone and is changed in
                # place: a copy in a new result would cost the node a thirtieth
                # of its work on the call.
                response.retries_left = remaining_retries
                response.load = self._response_load(execution.route)
                return outcome
            case Result(error=refusal):
                downstream_failed = (
                    refusal.from_below or execution.downstream_failed
                )
                adjusted = replace(
                    refusal,
                    retries_left=remaining_retries,
                    from_below=downstream_failed,
                )
                return Error(adjusted)


def _unlisted_route(name: str) -> Route:
    # The call frame carries the pool and importance of the call.
    return Route(
        name=name,
        method='',
        path='',
        pool='',
        importance=Importance.NORMAL,
        idempotent=False,
    )


def _is_target_refusal(outcome: Outcome) -> bool:
    # True only for a refusal by the target itself, not by this node.
    match outcome:
        case Result(tag='error', error=NotRun(reason=Reason.TARGET_REFUSED)):
            return True
        case _:
            return False
