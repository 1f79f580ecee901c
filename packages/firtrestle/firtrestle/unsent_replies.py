"""Define the replies to calls that this daemon does not send to their instance."""

from firtrestle.instance_replies import unsent_reply
from firtrestle.outcomes import SubOutcome

GONE = unsent_reply(SubOutcome.DRAINING, "the instance is gone")
LEAVING = unsent_reply(SubOutcome.DRAINING, "the instance is leaving")
EVACUATED = unsent_reply(SubOutcome.DRAINING, "the instance's data centre is evacuated")
PAUSED = unsent_reply(SubOutcome.SHED, "the instance asked for a pause")
COLD = unsent_reply(SubOutcome.SHED, "the instance is cold, and this daemon has no permit")
