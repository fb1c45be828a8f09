"""Validate one row of an asset register."""

from ipaddress import IPv4Address, IPv6Address

from pydantic import BaseModel, ConfigDict, Field


class RegisterRow(BaseModel):
    """Describe one upstream instance as listed in the asset register."""

    model_config = ConfigDict(extra="forbid", frozen=True, str_strip_whitespace=True)

    id: str = Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
    host: IPv4Address | IPv6Address
    port: int = Field(ge=1, le=65_535)
    zone: str = Field(min_length=1)
    rack: str = Field(min_length=1)
    pool: str = Field(min_length=1)
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)
    cores: float = Field(gt=0)
    memory_gb: float = Field(gt=0)
    accelerators: int = Field(default=0, ge=0)
