// Messages between the system's own processes, and records in the log.
namespace py quetzalgauge.gen

// ---- Log records ----------------------------------------------------------

// A control process. The incarnation grows with each start of the process.
struct Writer {
  1: string instance,
  2: i64 incarnation,
}

// A ticket as its canonical JSON text.
struct TicketRecord {
  1: i64 number,
  2: string text,
}

// The sender is a live control process of this availability zone.
struct Register {
  1: string availability_zone,
  2: string peer_address,
}

// A model engine that may hold replicas.
struct TargetRegister {
  1: string target,
  2: string target_incarnation,
  3: string availability_zone,
  4: i64 accelerator_memory_bytes,
  5: bool checks_fencing,
}

// The target's incarnation has ended, so what it held in memory is gone.
struct TargetGone {
  1: string target,
  2: string target_incarnation,
}

// Wins only if expected_offset is the offset of the latest claim or renewal of
// the target's lease (-1: the target has never had a holder).
struct LeaseClaim {
  1: string target,
  2: i64 expected_offset,
}

// Renews every lease of the sender.
struct Renew {
}

// Gives up leases. The sender's fencing numbers on these targets stay open
// until a Close record.
struct Resign {
  1: list<string> targets,
}

enum CloseProof {
  FENCED = 1,     // The target acknowledged a higher fencing number.
  SETTLED = 2,    // The former holder has no order in flight and sends no more.
  WRITER_GONE = 3 // The former holder's process has ended.
}

// No order with this fencing number can reach the target any more.
struct Close {
  1: string target,
  2: i64 fencing_number,
  3: CloseProof proof,
}

struct Slot {
  1: string model,
  2: string availability_zone,
  3: i32 index,
}

// Reserves memory and a replica slot on a target.
struct Reserve {
  1: string target,
  2: i64 fencing_number,
  3: Slot slot,
  4: string version,
  5: i64 memory_bytes,
}

// Frees a reservation. The target has confirmed that the slot is not loaded.
struct Release {
  1: string target,
  2: i64 fencing_number,
  3: Slot slot,
}

// First claim of a key wins. A key is the hash of an idempotency key.
struct KeyClaim {
  1: list<i64> keys,
  2: string entry,
}

// Gives up own claims of keys whose requests never ran.
struct KeyRelease {
  1: list<i64> keys,
}

// The instance's process with this incarnation, and any older one, has ended.
struct InstanceGone {
  1: string instance,
  2: i64 incarnation,
}

// The folded state up to and including the covered offset.
struct Snapshot {
  1: i64 covers_offset,
  2: binary state,
}

union RecordBody {
  1: TicketRecord ticket,
  2: Register register_,
  3: TargetRegister target_register,
  4: TargetGone target_gone,
  5: LeaseClaim lease_claim,
  6: Renew renew,
  7: Resign resign,
  8: Close close,
  9: Reserve reserve,
  10: Release release,
  11: KeyClaim key_claim,
  12: Snapshot snapshot,
  13: KeyRelease key_release,
  14: InstanceGone instance_gone,
}

struct Envelope {
  1: Writer writer,
  2: i64 sequence,
  3: RecordBody body,
}

// ---- Entry process to its control process ---------------------------------

struct Demand {
  1: string model,
  2: string version,
  3: i32 waiting,
  4: i32 running,
  5: double oldest_wait_s,
  6: i32 priority,
  7: string origin,          // Entry process that has the waiting requests.
}

struct EntryReport {
  1: string entry,
  2: i64 routes_version,     // 0: send everything.
  3: i64 catalog_version,    // 0: send everything.
  4: list<Demand> demands,
  5: map<string, i32> in_flight,
  6: list<string> suspect_targets,
  7: bool draining,
}

struct ModelEntry {
  1: string model,
  2: list<string> versions,
  3: string default_version,
  4: i32 priority,
  5: bool removed,
}

struct AdapterEntry {
  1: string adapter,
  2: string model,
  3: bool removed,
}

struct ServiceEntry {
  1: string service_name,
  2: list<string> repeatable_paths,
  3: bool removed,
}

enum ReplicaState {
  LOADING = 1,
  READY = 2,
  UNLOADING = 3,
}

struct Replica {
  1: Slot slot,
  2: string version,
  3: string target,
  4: string address,
  5: string availability_zone,
  6: ReplicaState state,
  7: double ready_in_s,
  8: i32 max_running,
}

struct ServiceTarget {
  1: string service_name,
  2: string target,
  3: string address,
  4: string availability_zone,
}

struct RouteUpdate {
  1: i64 routes_version,
  2: i64 catalog_version,
  3: bool routes_changed,    // False: replicas and service_targets are empty.
  4: list<Replica> replicas,
  5: list<ServiceTarget> service_targets,
  6: bool catalog_complete,  // True: replaces the whole catalog.
  7: list<ModelEntry> models,
  8: list<AdapterEntry> adapters,
  9: bool log_reachable,
  10: list<ServiceEntry> services,
}

struct KeyOutcome {
  1: bool known,
  2: i32 status,
  3: map<string, string> headers,
  4: binary body,
}

enum KeyDecision {
  RUN = 1,          // The caller of claim_key is first and may run the request.
  STORED = 2,       // Another try has the outcome.
  UNKNOWN = 3,      // Another try exists; its outcome is not known.
  UNAVAILABLE = 4,  // The log cannot be reached; nothing is decided.
}

struct KeyReply {
  1: KeyDecision decision,
  2: KeyOutcome outcome,
}

enum AdapterDecision {
  RESIDENT = 1,
  REFUSED = 2,
  NO_HOLDER = 3,
}

struct AdapterReply {
  1: AdapterDecision decision,
  2: string reason,
}

service Control {
  // Waits up to a quarter of a second for a change, then answers.
  RouteUpdate sync(1: EntryReport report),
  // Claims an idempotency key through the log.
  KeyReply claim_key(1: string entry, 2: i64 key, 3: double timeout_s),
  // Stores the outcome of a keyed request for later tries.
  void store_outcome(1: string entry, 2: i64 key, 3: KeyOutcome outcome),
  // Makes an adapter resident on a target.
  AdapterReply ensure_adapter(1: string target, 2: string adapter, 3: double timeout_s),
}

// ---- Control process to control process -----------------------------------

struct LeavingTarget {
  1: string target,
  2: string target_incarnation,
}

// What the holder of a target knows about it. Newer numbers replace older ones:
// first the fencing number is compared, then the sequence.
struct TargetState {
  1: string target,
  2: i64 fencing_number,
  3: i64 sequence,
  4: list<Replica> replicas,
  5: i64 unreserved_bytes,
  6: list<string> cached,    // MODEL@VERSION in the target's memory or on its disk.
}

struct LogRecord {
  1: i64 offset,
  2: binary data,
}

struct Digest {
  1: Writer sender,
  2: string availability_zone,
  3: map<string, i64> next_offsets,        // By stream.
  4: map<string, i64> target_sequences,    // By target.
  5: list<LeavingTarget> leaving,
  6: bool log_reachable,
}

struct Update {
  1: Digest digest,
  2: map<string, list<LogRecord>> records, // By stream; what the asker lacks.
  3: list<TargetState> target_states,
}

service Peer {
  // Exchanges what both sides know.
  Update exchange(1: Digest digest, 2: list<TargetState> target_states),
  // Hands demand to the holder of a target.
  void demand(1: list<Demand> demands),
  // The folded state of a stream, as a Snapshot record's data.
  LogRecord fetch_snapshot(1: string stream),
  // The outcome of a keyed request that an entry process of this instance ran.
  KeyOutcome fetch_outcome(1: i64 key),
  // Makes an adapter resident on a target that the receiver holds.
  AdapterReply ensure_adapter(1: string target, 2: string adapter, 3: double timeout_s),
}
