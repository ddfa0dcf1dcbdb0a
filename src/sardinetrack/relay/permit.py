"""A permit to send one request, granted by a server's side or by the entry."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

from sardinetrack.admission.request import AdmissionRequest, Granted
from sardinetrack.placement.choice import Candidate
from sardinetrack.placement.load import EstimatedLoad
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.topology.configuration import Pool
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now
from sardinetrack.turns.driver import LocalAdmission
from sardinetrack.turns.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequest,
)
from sardinetrack.turns.side_connection import SideConnection
from sardinetrack.turns.side_state import OriginListener

_RESPONSE_SECONDS: Final = 0.25
"""Longest wait for a side's response beyond what the request may wait."""


class Permit(ABC):
    """Permit to send one request to one server."""

    granted_by: str
    """Who granted it, for the log."""

    @abstractmethod
    def first_event_received(
        self, server: BackendServer, listener: OriginListener
    ) -> None:
        """Report that the first event arrived.

        :param server: that sent it.
        :param listener: told if the start of the server is certain.
        """

    @abstractmethod
    def release(self, *, complete: bool) -> None:
        """Release the permit.

        :param complete: the caller has the complete response.
        """


class PlainPermit(Permit):
    """For a plain service, which has no side; counted as soon as it is chosen.

    Simultaneous requests are all placed before any of them is sent.
    """

    granted_by = 'none'

    def __init__(self, load: EstimatedLoad) -> None:
        """Count the request.

        :param load: of the chosen server.
        """
        self._load = load
        load.running += 1

    def first_event_received(
        self, server: BackendServer, listener: OriginListener
    ) -> None:
        """Confirm the start if its id has only one."""
        _confirm_only_start(server, listener)

    def release(self, *, complete: bool) -> None:
        """Stop counting the request."""
        self._load.running -= 1


class SidePermit(Permit):
    """Granted by the server's side."""

    granted_by = 'side'

    def __init__(self, connection: SideConnection, permit_id: str) -> None:
        """Create a permit granted by a side.

        :param connection: the connection to the side.
        :param permit_id: the id of the permit.
        """
        self._connection = connection
        self._permit_id = permit_id

    def first_event_received(
        self, server: BackendServer, listener: OriginListener
    ) -> None:
        """Report it to the side."""
        self._connection.begun(self._permit_id, server, listener)

    def release(self, *, complete: bool) -> None:
        """Release the permit at the side."""
        self._connection.ended(self._permit_id, is_complete=complete)


class LocalPermit(Permit):
    """Granted by the entry itself."""

    granted_by = 'entry'

    def __init__(self, local_admission: LocalAdmission, permit_id: str) -> None:
        """Create a permit granted by the entry itself.

        :param local_admission: the local admission that granted it.
        :param permit_id: the id of the permit.
        """
        self._local_admission = local_admission
        self._permit_id = permit_id

    def first_event_received(
        self, server: BackendServer, listener: OriginListener
    ) -> None:
        """Inform the local admission."""
        self._local_admission.prefill_finished(self._permit_id)
        _confirm_only_start(server, listener)

    def release(self, *, complete: bool) -> None:
        """Release it at the local admission."""
        self._local_admission.release_permit(
            self._permit_id, is_complete=complete
        )


class HeldPermit(Permit):
    """Releases another permit once, and reports the first event.

    The permit of a stream that is moved ends before the request does.
    """

    def __init__(
        self, permit: Permit, first_event: Callable[[], None] | None = None
    ) -> None:
        """Hold a permit.

        :param first_event: called at each first event of an attempt.
        """
        self.granted_by = permit.granted_by
        self._permit: Permit | None = permit
        self._first_event = first_event

    def first_event_received(
        self, server: BackendServer, listener: OriginListener
    ) -> None:
        """Report it."""
        if self._permit is not None:
            self._permit.first_event_received(server, listener)
        if self._first_event is not None:
            self._first_event()

    def release(self, *, complete: bool) -> None:
        """Release the permit unless that was done before."""
        permit = self._permit
        self._permit = None
        if permit is not None:
            permit.release(complete=complete)


class PermitRefusedError(Exception):
    """The server grants no permit in time."""

    def __init__(
        self,
        retry_after_seconds: float,
        reason: str,
        since_refusal_seconds: float = 0,
        service_fraction: float = 1,
    ) -> None:
        """Describe the refusal.

        :param retry_after_seconds: when to retry.
        :param reason: for the log.
        :param since_refusal_seconds: how long ago it was refused before.
        :param service_fraction: service of the workspace, see ``Refused``.
        """
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds
        self.since_refusal_seconds = since_refusal_seconds
        self.service_fraction = service_fraction


class TrialRunsError(Exception):
    """Another request with a suspected part runs; it is not known how long."""


async def acquire_permit(
    state: EntryState,
    pool: Pool,
    candidate: Candidate,
    admission_request: AdmissionRequest,
) -> Permit:
    """Wait for a permit for a server.

    Where the side is unreachable, or is lost during the request, the entry
    grants its own fraction of the server, whose engine keeps running.

    :raises PermitRefusedError: there is none in time.
    :raises TrialRunsError: it is a trial, and another one runs there.
    """
    link = state.sides.find(candidate.server.ip)
    if link is not None and link.connection is not None:
        permit = await _request_from_side(
            state, link.connection, admission_request
        )
        if permit is not None:
            return permit
    cold_seconds = state.server_states.cold_starts.no_send_seconds(
        candidate.server, pool
    )
    if cold_seconds > 0:
        raise PermitRefusedError(
            cold_seconds, 'cold, and its side is unreachable'
        )
    local_admission = state.local_admission(candidate.server, pool)
    permit_id = admission_request.permit_id
    if admission_request.is_trial and not local_admission.trials.begin(
        permit_id
    ):
        raise TrialRunsError
    decision = await local_admission.request_permit(admission_request)
    if isinstance(decision, Granted):
        return LocalPermit(local_admission, permit_id)
    raise PermitRefusedError(
        decision.retry_after_seconds, 'local admission is full'
    )


async def _request_from_side(
    state: EntryState,
    connection: SideConnection,
    admission_request: AdmissionRequest,
) -> Permit | None:
    message = PermitRequest(
        admission_request.permit_id,
        admission_request.workspace,
        admission_request.prefill_tokens,
        admission_request.kv_cache_tokens,
        admission_request.output_tokens,
        admission_request.max_wait_seconds,
        admission_request.priority,
        round(admission_request.served_tokens),
        admission_request.shared_prefix,
        round(admission_request.first_event_due_seconds, 3),
        connection.service_updates.rows(loop_now(), state.service),
        admission_request.fingerprint,
        round(admission_request.until_deadline_seconds, 3),
        round(admission_request.since_refusal_seconds, 3),
        _finite(admission_request.event_gap_seconds),
        admission_request.is_trial,
        admission_request.cached_tokens,
        round(admission_request.short_seconds, 1),
    )
    timeout_seconds = admission_request.max_wait_seconds + _RESPONSE_SECONDS
    response = await connection.request_permit(message, timeout_seconds)
    if isinstance(response, PermitGranted):
        return SidePermit(connection, admission_request.permit_id)
    if isinstance(response, PermitRefused):
        if response.trial_runs:
            raise TrialRunsError
        raise PermitRefusedError(
            response.retry_after_seconds,
            f'side: {response.ahead_tokens} tokens ahead',
            response.since_refusal_seconds,
            response.service_fraction,
        )
    return None


def _finite(seconds: float) -> float:
    """Encode an infinite objective as 0; JSON has no infinity."""
    return seconds if math.isfinite(seconds) else 0


def _confirm_only_start(
    server: BackendServer, listener: OriginListener
) -> None:
    """Confirm the start of a server that can't restart under its id."""
    if server.started_milliseconds is None:
        listener.confirmed(side_knows=False)
