"""Identifiers. All are opaque; only offsets and numbers have an order."""

import dataclasses
from typing import NewType

InstanceId = NewType("InstanceId", str)
TargetId = NewType("TargetId", str)
TargetIncarnation = NewType("TargetIncarnation", str)
EntryId = NewType("EntryId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
Region = NewType("Region", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
StreamName = NewType("StreamName", str)
OrderId = NewType("OrderId", str)
RequestId = NewType("RequestId", str)
Offset = NewType("Offset", int)
Sequence = NewType("Sequence", int)
FencingNumber = NewType("FencingNumber", int)
TicketNumber = NewType("TicketNumber", int)
KeyHash = NewType("KeyHash", int)

NO_OFFSET = Offset(-1)
CONFIG_STREAM = StreamName("config")


def decision_stream(region: Region) -> StreamName:
    """Returns the name of the stream that holds a region's decisions."""
    return StreamName(f"decisions-{region}")


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WriterId:
    """A control process. The incarnation grows with each start."""

    instance: InstanceId
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SlotId:
    """The right to have one replica of a model loaded in a zone."""

    model: ModelName
    availability_zone: AvailabilityZone
    index: int

    def __str__(self) -> str:
        """Returns MODEL/ZONE/INDEX, the form used in orders."""
        return f"{self.model}/{self.availability_zone}/{self.index}"


def parse_slot(text: str) -> SlotId:
    """Parses MODEL/ZONE/INDEX; raises ValueError for any other form."""
    model, zone, index = text.rsplit("/", 2)
    return SlotId(ModelName(model), AvailabilityZone(zone), int(index))
