"""A slow second version of the decision fold, for comparison.

It keeps the list of records that took effect and answers every question by
walking through the whole list.
"""

from quetzalgauge import records


class NaiveLedger:
    """The history of effective records."""

    def __init__(self, key_limit):
        self.history = []  # (offset, writer, body)
        self.sequences = []  # (writer, sequence) of every counted record
        self.key_limit = key_limit

    def writers(self):
        result = {}
        for _, writer, body in self.history:
            if isinstance(body, records.Register):
                result[writer.instance] = (writer, body)
            if isinstance(body, records.InstanceGone):
                del result[body.instance]
        return result

    def ended(self, writer):
        """Whether this or a later incarnation was registered or has ended."""
        return any(
            (
                isinstance(body, records.Register)
                and other.instance == writer.instance
                and other.incarnation >= writer.incarnation
            )
            or (
                isinstance(body, records.InstanceGone)
                and body.instance == writer.instance
                and body.incarnation >= writer.incarnation
            )
            for _, other, body in self.history
        )

    def lease(self, target):
        """Returns holder, number and the offset of the latest renewal."""
        holder, number, latest = None, None, -1
        for offset, writer, body in self.history:
            if isinstance(body, records.LeaseClaim) and body.target == target:
                holder, number, latest = writer, offset, offset
            elif holder is None:
                continue
            elif isinstance(body, records.Renew) and writer == holder:
                latest = offset
            elif (
                (
                    isinstance(body, records.Resign)
                    and writer == holder
                    and target in body.targets
                )
                or (
                    isinstance(body, records.Register)
                    and writer.instance == holder.instance
                    and writer != holder
                )
                or (
                    isinstance(body, records.InstanceGone)
                    and body.instance == holder.instance
                )
            ):
                holder = None
        return holder, number, latest

    def open_numbers(self, target):
        result = {}
        for offset, writer, body in self.history:
            if isinstance(body, records.LeaseClaim) and body.target == target:
                result[offset] = writer
            if isinstance(body, records.Close) and body.target == target:
                del result[body.fencing_number]
        return result

    def older_closed(self, target):
        _, number, _ = self.lease(target)
        return not [one for one in self.open_numbers(target) if one < number]

    def registration(self, target):
        """Returns the registration in force and the last ended incarnation."""
        registration, ended = None, None
        for _, _, body in self.history:
            if isinstance(body, records.TargetRegister):
                if body.target == target:
                    registration = body
            elif isinstance(body, records.TargetGone) and body.target == target:
                registration, ended = None, body.target_incarnation
        return registration, ended

    def reservations(self, target):
        result = {}
        for _, _, body in self.history:
            if getattr(body, "target", None) != target:
                continue
            if isinstance(body, records.Reserve):
                result[body.slot] = (body.version, body.memory_bytes)
            if isinstance(body, records.Release):
                del result[body.slot]
            if isinstance(body, records.TargetGone):
                result = {}
        return result

    def claims(self):
        result = []  # (key, offset, writer, entry)
        for offset, writer, body in self.history:
            if isinstance(body, records.KeyClaim):
                for key in body.keys:
                    if key not in [row[0] for row in result]:
                        result.append((key, offset, writer, body.entry))
                result = result[-self.key_limit :]
            if isinstance(body, records.KeyRelease):
                result = [
                    row
                    for row in result
                    if row[0] not in body.keys or row[2] != writer
                ]
        return result

    def apply(self, offset, envelope):
        """Returns "accepted", "duplicate" or "rejected"."""
        writer, body = envelope.writer, envelope.body
        registered = self.writers().get(writer.instance, (None,))[0] == writer
        if isinstance(body, records.Register) and not registered:
            if self.ended(writer):
                return "rejected"
        elif not registered:
            return "rejected"
        seen = [last for one, last in self.sequences if one == writer]
        if registered and seen and envelope.sequence <= max(seen):
            return "duplicate"
        self.sequences.append((writer, envelope.sequence))
        if not self.is_valid(writer, registered, body):
            return "rejected"
        self.history.append((offset, writer, body))
        return "accepted"

    def is_valid(self, writer, registered, body):
        zone = None
        if registered:
            zone = self.writers()[writer.instance][1].availability_zone
        if isinstance(body, records.Register):
            return zone in (None, body.availability_zone)
        if isinstance(body, records.InstanceGone):
            found = self.writers().get(body.instance)
            return (
                found is not None
                and found[0] != writer
                and found[0].incarnation <= body.incarnation
            )
        if isinstance(body, records.Resign):
            return any(self.lease(one)[0] == writer for one in body.targets)
        if isinstance(body, records.KeyClaim):
            taken = [row[0] for row in self.claims()]
            return any(key not in taken for key in body.keys)
        if isinstance(body, records.KeyRelease):
            own = [row[0] for row in self.claims() if row[2] == writer]
            return any(key in own for key in body.keys)
        if isinstance(body, records.Renew):
            return True
        return self.is_valid_for_target(writer, zone, body)

    def is_valid_for_target(self, writer, zone, body):
        holder, number, latest = self.lease(body.target)
        registration, ended = self.registration(body.target)
        if registration and registration.availability_zone != zone:
            return False
        if isinstance(body, records.LeaseClaim):
            return body.expected_offset == latest
        if isinstance(body, records.TargetRegister):
            return (
                holder == writer
                and registration is None
                and ended != body.target_incarnation
                and body.availability_zone == zone
                and body.accelerator_memory_bytes >= 0
                and self.older_closed(body.target)
            )
        if isinstance(body, records.TargetGone):
            return (
                registration is not None
                and registration.target_incarnation == body.target_incarnation
            )
        if isinstance(body, records.Close):
            return self.is_proven(writer, registration, body)
        if holder != writer or number != body.fencing_number:
            return False
        if isinstance(body, records.Release):
            reserved = body.slot in self.reservations(body.target)
            return reserved and self.older_closed(body.target)
        used = sum(size for _, size in self.reservations(body.target).values())
        targets = {
            other.target
            for _, _, other in self.history
            if isinstance(other, records.TargetRegister)
        }
        return (
            registration is not None
            and body.slot.availability_zone == registration.availability_zone
            and body.slot.index >= 0
            and body.memory_bytes >= 1
            and used + body.memory_bytes
            <= registration.accelerator_memory_bytes
            and not any(body.slot in self.reservations(one) for one in targets)
        )

    def is_proven(self, writer, registration, body):
        holder, number, _ = self.lease(body.target)
        owner = self.open_numbers(body.target).get(body.fencing_number)
        if owner is None:
            return False
        if body.proof is records.CloseProof.FENCED:
            checks = registration is None or registration.checks_fencing
            newer = number > body.fencing_number
            return holder == writer and newer and checks
        if body.proof is records.CloseProof.SETTLED:
            held = holder == owner and number == body.fencing_number
            return owner == writer and not held
        return self.writers().get(owner.instance, (None,))[0] != owner
