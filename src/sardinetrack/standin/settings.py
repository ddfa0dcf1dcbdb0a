"""Settings of the stand-ins for backend servers."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from sardinetrack.config.model import Port, Seconds
from sardinetrack.standin.engine_batch import EngineRates
from sardinetrack.standin.faults import Faults


class _StandInSettings(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)

    ip: str = '127.0.0.1'
    port: Port = 0
    checks_fencing: bool = True
    faults: Faults = Faults()


class EngineSettings(_StandInSettings):
    """Settings of a model engine."""

    model: str = 'standin-model'
    rates: EngineRates = EngineRates()
    load_lag_seconds: Seconds = 0.5


class ServiceSettings(_StandInSettings):
    """Settings of a plain service."""
