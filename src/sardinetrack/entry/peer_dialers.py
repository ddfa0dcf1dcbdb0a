"""The instances that the platform lists, and the dialers of their links."""

from __future__ import annotations

from typing import Final

import anyio
from anyio.abc import TaskGroup

from sardinetrack.links.api import Hello, LinkEvents, PeerRole
from sardinetrack.links.client import LinkDialer
from sardinetrack.links.secret import PeerSecret
from sardinetrack.logs.lines import ComponentLogger, LogComponent
from sardinetrack.membership.api import (
    InstanceJoined,
    InstanceRemoved,
    MembershipChange,
)
from sardinetrack.store.api import InstanceState, ListedInstance

_LOG: Final = ComponentLogger(LogComponent.ENTRY)


class PeerDialers:
    """Keeps one dialer for each side and for some of the other entries.

    Of two entries only the one with the lesser name dials. If both dialed, each
    of the two links would count as the newer one and close the other,
    repeatedly.
    """

    def __init__(
        self,
        hello: Hello,
        secret: PeerSecret,
        events: LinkEvents,
        tasks: TaskGroup,
    ) -> None:
        """Start without any instance.

        :param hello: identifies this process to peers.
        :param secret: authenticates this process to peers.
        :param events: receives the events of the links.
        :param tasks: runs the dialers.
        """
        self._hello = hello
        self._secret = secret
        self._events = events
        self._tasks = tasks
        self._instances: dict[str, ListedInstance] = {}
        self._dial_tasks: dict[str, _DialTask] = {}

    def find(self, instance: str) -> ListedInstance | None:
        """Return the record of a listed instance."""
        return self._instances.get(instance)

    def is_draining(self, instance: str) -> bool:
        """Return whether an instance takes no new requests."""
        row = self._instances.get(instance)
        return row is None or row.state is InstanceState.LEAVING

    def apply(self, change: MembershipChange) -> None:
        """Apply a change of the instance list."""
        row = change.row
        if isinstance(change, InstanceRemoved):
            self._instances.pop(row.instance, None)
            return
        self._instances[row.instance] = row
        if isinstance(change, InstanceJoined) and self._should_dial(row):
            self._dial(row)

    def stop_dialing(self, instance: str) -> None:
        """Stop dialing an instance, which also closes its link."""
        task = self._dial_tasks.pop(instance, None)
        if task is not None:
            task.scope.cancel()

    def _should_dial(self, row: ListedInstance) -> bool:
        if row.role == PeerRole.SIDE:
            return True
        return self._hello.instance < row.instance

    def _dial(self, row: ListedInstance) -> None:
        known = self._dial_tasks.get(row.instance)
        if known is not None and known.dialer.address == row.address:
            return
        self.stop_dialing(row.instance)
        dialer = LinkDialer(
            row.address,
            self._hello,
            self._secret,
            self._events,
        )
        task = _DialTask(dialer)
        self._dial_tasks[row.instance] = task
        self._tasks.start_soon(task.run)
        _LOG.info('dials', peer=row.instance, address=row.address)


class _DialTask:
    """A dialer that can be stopped."""

    def __init__(self, dialer: LinkDialer) -> None:
        self.dialer = dialer
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Dial until stopped."""
        with self.scope:
            await self.dialer.run()
