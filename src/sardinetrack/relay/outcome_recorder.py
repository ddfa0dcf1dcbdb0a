"""Records what the outcome of an attempt shows about its server."""

from __future__ import annotations

from sardinetrack.logs.events import Event
from sardinetrack.relay.api import CallerRequest
from sardinetrack.relay.attempt import SendOutcome, ServerAttempt
from sardinetrack.relay.connection_pool import NotConnectedError
from sardinetrack.relay.crashes import InterruptedRun
from sardinetrack.relay.entry_state import EntryState
from sardinetrack.relay.part_quarantine import SentPrompt
from sardinetrack.relay.request_plan import Plan
from sardinetrack.relay.target import Target
from sardinetrack.relay.trace import Trace
from sardinetrack.topology.servers import BackendServer
from sardinetrack.turns.clock import loop_now


class OutcomeRecorder:
    """Updates the state of the servers that one request was sent to."""

    def __init__(
        self, state: EntryState, call: CallerRequest, trace: Trace
    ) -> None:
        self._state = state
        self._call = call
        self._trace = trace
        self._prompt = SentPrompt((), ())

    def note_sent(self, plan: Plan) -> None:
        """Note what is known of the prompt as it is sent to a server."""
        self._prompt = self._state.crashes.quarantine.sent(plan.part_keys)

    def record(self, target: Target, attempt: ServerAttempt) -> None:
        """Record how an attempt has ended."""
        outcome = attempt.done.result()
        works = outcome is SendOutcome.ANSWERED and not attempt.failed
        if works or outcome in {SendOutcome.DELIVERED, SendOutcome.NOT_RUN}:
            target.record_success()
        else:
            target.record_failure(loop_now())
        if outcome is SendOutcome.NOT_RUN:
            self._trace.unproved_sends -= 1
        if attempt.response is not None and attempt.response.misdirected:
            self.mark_misaddressed(
                target, 'another server responds at this address'
            )
        elif attempt.response is not None:
            target.load.reported_running = max(0, attempt.response.running)

    def mark_misaddressed(self, target: Target, cause: str) -> None:
        """Record that something else responds in place of a server.

        :param cause: for the log.
        """
        self._state.mark_misaddressed(target.server)
        self._log_suspect(target, cause)

    def update_suspects(
        self,
        plan: Plan,
        server: BackendServer,
        attempt: ServerAttempt,
    ) -> None:
        """Record whether the request may have crashed the server."""
        crashes, call = self._state.crashes, self._call
        leaving = self._state.is_leaving(server)
        if attempt.interrupted_by_server and not leaving:
            crashes.run_interrupted(
                loop_now(),
                server.instance,
                InterruptedRun(
                    call.request_id,
                    attempt.first_event_received,
                    call.prompt.shared_ids,
                    self._prompt,
                ),
            )
        if attempt.done.result() is SendOutcome.DELIVERED:
            crashes.served(call, plan.workspace_name)
            crashes.quarantine.answered(loop_now(), plan.part_keys)
        elif attempt.interrupted_by_server:
            strikes = crashes.connection_ended(
                loop_now(),
                server.instance,
                call,
                plan.workspace_name,
            )
            if strikes:
                self._state.sides.report_strikes(strikes)

    def record_unreachable(
        self, target: Target, error: NotConnectedError
    ) -> None:
        """Record that a server accepts no connection."""
        detail, server = str(error), target.server
        self._trace.unreachable.add(server.instance)
        if isinstance(error.__cause__, ConnectionRefusedError):
            self._state.sides.server_unreachable(server.instance, detail)
        target.record_failure(loop_now())
        self._log_suspect(target, detail or 'no connection in time')

    def _log_suspect(self, target: Target, cause: str) -> None:
        self._state.log.write(
            Event.SERVER_SUSPECT,
            request=self._call.request_id,
            server=target.server.instance,
            cause=cause,
            breaker=target.breaker.state.value,
        )
