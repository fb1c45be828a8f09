"""Re-export an entry instance's membership and the writer of its records."""

from ._membership_writer import MembershipWriter
from ._participant import Participant, ParticipantTiming, PeerHeartbeat

__all__ = ["MembershipWriter", "Participant", "ParticipantTiming", "PeerHeartbeat"]
