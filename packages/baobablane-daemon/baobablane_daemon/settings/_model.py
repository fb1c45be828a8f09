"""Define and validate the daemon's settings."""

from ipaddress import IPv4Address, IPv6Address

from pydantic import BaseModel, ConfigDict, Field, HttpUrl

Z85_KEY_PATTERN = r"^.{40}$"


class StrictSettings(BaseModel):
    """Reject unknown settings."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class InstanceSettings(StrictSettings):
    """Identify this entry instance and give its address and ports."""

    id: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str = Field(min_length=1)
    host: IPv4Address | IPv6Address
    callers_port: int = Field(ge=1, le=65_535)
    operators_port: int = Field(ge=1, le=65_535)
    peers_port: int = Field(ge=1, le=65_535)


class PlatformSettings(StrictSettings):
    """Locate the platform's services and give its log's retention in seconds."""

    log_url: HttpUrl
    instance_list_url: HttpUrl
    log_retention_seconds: float = Field(default=86_400.0, ge=60)


class OperatorSettings(StrictSettings):
    """Store the token digest that protects the operators' port."""

    token_digest: str = Field(
        pattern=r"^[0-9a-f]{64}$", description="SHA-256 of the operator token, in hex"
    )


class PeerSettings(StrictSettings):
    """Store the CURVE key pair that all entry instances share."""

    curve_public_key: str = Field(pattern=Z85_KEY_PATTERN)
    curve_secret_key: str = Field(pattern=Z85_KEY_PATTERN, repr=False)


class TimingSettings(StrictSettings):
    """Set leases, intervals and timeouts in seconds.

    A view stays valid for `view_lease_seconds` without confirmation. `silence_seconds`
    is the heartbeat timeout and `beat_seconds` the heartbeat interval. Records are
    collected for `commit_seconds` before each append, a log read waits up to
    `read_wait_seconds` for new records, and a stop waits up to `stop_seconds` for the
    requests in flight.
    """

    view_lease_seconds: float = Field(default=4.0, gt=0, le=60)
    silence_seconds: float = Field(default=10.0, gt=0, le=600)
    beat_seconds: float = Field(default=0.4, gt=0, le=10)
    commit_seconds: float = Field(default=0.02, gt=0, le=1)
    read_wait_seconds: float = Field(default=1.0, gt=0, le=30)
    stop_seconds: float = Field(default=60.0, gt=0, le=3600)


class DaemonSettings(StrictSettings):
    """Combine all settings of an entry instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    operators: OperatorSettings
    peers: PeerSettings
    timing: TimingSettings = TimingSettings()
