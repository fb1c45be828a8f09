"""Export what one entry instance does as a member of the cluster."""

from ._membership_writer import MembershipWriter
from ._participant import Participant, ParticipantTiming, PeerHeartbeat

__all__ = ["MembershipWriter", "Participant", "ParticipantTiming", "PeerHeartbeat"]
