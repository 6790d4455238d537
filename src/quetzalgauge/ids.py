"""Types of identifiers. The values of most are opaque strings."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
TargetId = NewType("TargetId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
ModelName = NewType("ModelName", str)
AdapterName = NewType("AdapterName", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
TopicName = NewType("TopicName", str)
RequestId = NewType("RequestId", str)
PromptPart = NewType("PromptPart", str)
# Version of the software of a target, not of the weights that it has loaded.
SoftwareVersion = NewType("SoftwareVersion", str)
# Stands for the version of targets that do not name one.
UNNAMED_VERSION = SoftwareVersion("")
# Number of a history of the store. It rises each time the store comes back from
# an older copy of itself; what was written since that copy is gone then, and
# offsets and generations may be given out again.
StoreEra = NewType("StoreEra", int)
# Stands for the era of a store that does not name one.
UNNAMED_ERA = StoreEra(-1)
