"""Re-export an entry instance's membership: its records, slots, loans and view."""

from ._membership_writer import MembershipWriter
from ._participant import Participant, ParticipantTiming, PeerHeartbeat

__all__ = ["MembershipWriter", "Participant", "ParticipantTiming", "PeerHeartbeat"]
