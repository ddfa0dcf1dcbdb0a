"""The instances that the platform lists, and a dialer to each of them."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.links.api import Hello, LinkEvents, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.secret import PeerSecret
from sardinetrack.logs.lines import Part, PartLogger
from sardinetrack.membership.api import Gone, Joined, MembershipChange
from sardinetrack.store.api import InstanceState, ListedInstance

_LOG: Final = PartLogger(Part.ENTRY)


class Roster:
    """Keeps one dialer for each side and for some of the other entries.

    Of two entries only the one with the lesser name dials. Two links between
    the same two would each count as the newer one and close the other, over
    and over.
    """

    def __init__(
        self,
        hello: Hello,
        secret: PeerSecret,
        events: LinkEvents,
        tasks: TaskGroup,
    ) -> None:
        """Start with nobody.

        :param events: where the links' events go.
        :param tasks: runs the dialers.
        """
        self._hello = hello
        self._secret = secret
        self._events = events
        self._tasks = tasks
        self._rows: dict[str, ListedInstance] = {}
        self._dialers: dict[str, _Dialing] = {}

    def row(self, instance: str) -> ListedInstance | None:
        """Look up a listed instance."""
        return self._rows.get(instance)

    def is_leaving(self, instance: str) -> bool:
        """Tell whether an instance takes no new work."""
        row = self._rows.get(instance)
        return row is None or row.state is InstanceState.LEAVING

    def note(self, change: MembershipChange) -> None:
        """Take in a change of the list."""
        row = change.row
        if isinstance(change, Gone):
            self._rows.pop(row.instance, None)
            return
        self._rows[row.instance] = row
        if isinstance(change, Joined) and self._dials(row):
            self._dial(row)

    def hang_up(self, instance: str) -> None:
        """Stop to dial an instance, which also closes its link."""
        dialing = self._dialers.pop(instance, None)
        if dialing is not None:
            dialing.scope.cancel()

    def _dials(self, row: ListedInstance) -> bool:
        if row.role == PeerRole.SIDE:
            return True
        return self._hello.instance < row.instance

    def _dial(self, row: ListedInstance) -> None:
        known = self._dialers.get(row.instance)
        if known is not None and known.dialer.address == row.address:
            return
        self.hang_up(row.instance)
        dialer = LinkDialer(
            row.address,
            self._hello,
            self._secret,
            self._events,
        )
        dialing = _Dialing(dialer)
        self._dialers[row.instance] = dialing
        self._tasks.start_soon(dialing.run)
        _LOG.info('dials', peer=row.instance, address=row.address)


class _Dialing:
    """A dialer that can be stopped."""

    def __init__(self, dialer: LinkDialer) -> None:
        """Prepare."""
        self.dialer = dialer
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Dial until stopped."""
        with self.scope:
            await self.dialer.run()
