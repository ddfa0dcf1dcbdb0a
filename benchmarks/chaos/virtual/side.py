"""A side as a node of the fake fleet, built from the daemon's objects."""

from __future__ import annotations

from anyio.abc import TaskGroup

from benchmarks.chaos.virtual.client import VirtualHttp
from benchmarks.chaos.virtual.network import Network
from benchmarks.chaos.virtual.node import Node
from benchmarks.chaos.virtual.settings import (
    SECRET,
    common_settings,
    draw_incarnation,
)
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.config.model import SideSettings
from sardinetrack.links.secret import PeerSecret
from sardinetrack.side.components import SideComponents
from sardinetrack.side.dependencies import SideDependencies
from sardinetrack.side.relayed_configuration import RelayedConfiguration


class SideNode(Node):
    """A side without its real listeners."""

    def __init__(
        self,
        network: Network,
        address: str,
        name: str,
        pool: str,
        backend: str,
    ) -> None:
        """Build one start of the side.

        :param backend: address of the backend server.
        """
        super().__init__(network, address)
        self.name = name
        self.pool = pool
        self.backend = backend
        self.admission: SlotAdmission

    async def work(self, tasks: TaskGroup) -> None:
        """Build the side as its composition root does, and serve."""
        incarnation = draw_incarnation(self.network.random)
        settings = SideSettings.model_validate(
            {
                **common_settings(self.name),
                'pool': self.pool,
                'backend_server': f'server-{self.name}',
                'backend_url': f'http://{self.backend}',
            },
        )
        self.admission = SlotAdmission(incarnation, 0)
        components = SideComponents(
            SideDependencies(
                settings=settings,
                peer_secret=PeerSecret(SECRET),
                incarnation=incarnation,
                admission=self.admission,
                configuration=RelayedConfiguration(self.pool),
            ),
            VirtualHttp(self.network),
        )
        tasks.start_soon(components.owner.run)
        tasks.start_soon(components.watch.run)
        self.application = components.peer_application()
        await self.accept_connections()
