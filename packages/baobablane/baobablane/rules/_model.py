"""Define the schema of the rules file."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from ..config import QueueClass

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class StrictModel(BaseModel):
    """Reject unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DeploymentModel(StrictModel):
    """Hold the settings of the whole deployment."""

    # Maximum number of entry instances that run at the same time.
    entry_instances: int = Field(ge=1, le=64)
    urgent_floor: float = Field(default=0.1, ge=0, lt=0.5)
    reboot_seconds: float = Field(default=60.0, gt=0, le=3600)
    urgent_reserve: float = Field(default=0.25, ge=0, lt=1)


class RegisterColumnsModel(StrictModel):
    """Map fields to the asset register's column names; an empty name omits a field."""

    id: str = "id"
    host: str = "host"
    port: str = "port"
    zone: str = "zone"
    rack: str = "rack"
    pool: str = "pool"
    slots: str = "slots"
    connections: str = "connections"
    cores: str = "cores"
    memory_gb: str = "memory_gb"
    accelerators: str = ""


class PoolModel(StrictModel):
    """Describe a pool."""

    name: Name
    teams: tuple[Name, ...]
    spare: bool = False


class ServiceModel(StrictModel):
    """Describe a service and its availability budget."""

    name: Name
    pool: Name
    availability: float = Field(gt=0, lt=1)
    window_seconds: int = Field(default=86_400, ge=60)
    ready_floor: int = Field(ge=0)


class QueueModel(StrictModel):
    """Describe a queue."""

    name: Name
    service: Name
    queue_class: QueueClass = Field(alias="class")
    open: bool = False
    idempotent: bool
    deferred: bool = False
    deadline_seconds: float = Field(gt=0, le=3600)
    run_seconds: float = Field(gt=0, le=3600)


class KeyModel(StrictModel):
    """Describe the published part of a client key: a salted SHA-256 digest, in hex."""

    id: str = Field(pattern=r"^[a-z0-9]{4,32}$")
    salt: str = Field(pattern=r"^[0-9a-f]{16,64}$")
    digest: str = Field(pattern=r"^[0-9a-f]{64}$")


class TeamModel(StrictModel):
    """Describe a team."""

    name: Name
    share: float = Field(gt=0, le=1000)
    limit: int = Field(ge=0, le=1_000_000)
    keys: tuple[KeyModel, ...] = ()


class RulesModel(StrictModel):
    """Describe the whole rules file."""

    deployment: DeploymentModel
    register_columns: RegisterColumnsModel = Field(
        default_factory=RegisterColumnsModel, alias="register"
    )
    pools: tuple[PoolModel, ...]
    services: tuple[ServiceModel, ...]
    queues: tuple[QueueModel, ...]
    teams: tuple[TeamModel, ...]
