// Messages between instances and the holders of zones. Durations are
// milliseconds.
namespace py quetzalgauge.gen.exchange

struct Wish {
  1: string model,
  2: i32 waiting,
  3: list<i32> slacks,
}

struct AdapterWish {
  1: string target,
  2: string model,
  3: string adapter,
}

// Empty model and adapter: none.
struct Running {
  1: string target,
  2: string model,
  3: string adapter,
  4: i32 count,
}

// A target that ended under a request without a response.
struct TargetEnd {
  1: string target,
  2: i64 incarnation,
  3: bool isolated,
  4: list<string> others,
  5: i32 age,
}

// Evidence against a part of prompts. Empty model: none.
struct Evidence {
  1: string part,
  2: string model,
  3: i32 generation,
  4: list<TargetEnd> ends,
  5: i32 age,
}

struct TrialWish {
  1: i64 number,
  2: string model,
  3: list<string> parts,
  4: i32 unproven,
  5: bool running,
}

struct TrialGrant {
  1: string instance,
  2: i64 number,
  3: list<string> parts,
  4: i32 time_left,
}

struct Report {
  1: string instance,
  2: list<Wish> wishes,
  3: list<AdapterWish> adapter_wishes,
  4: list<Running> running,
  5: map<string, i32> arrivals,
  6: map<string, i32> adapter_arrivals,
  // How far the sender has read each topic of the store; absent in messages of
  // older builds.
  7: optional map<string, i64> offsets,
  // Absent if nothing has changed, and in messages of older builds.
  8: optional list<Evidence> evidence,
  9: optional list<TrialWish> trial_wishes,
  // Era of the store that the offsets belong to; absent if the store names none,
  // and in messages of older builds.
  10: optional i64 era,
}

struct ReplicaView {
  1: string model,
  2: i32 ready_in,
  3: bool closing,
  4: bool planned,
}

struct AdapterView {
  1: string model,
  2: string adapter,
  3: i32 ready_in,
}

struct TargetView {
  1: string target,
  2: i64 incarnation,
  3: list<ReplicaView> replicas,
  4: list<AdapterView> adapters,
  5: i32 busy_for,
  6: i32 running,
  // Empty: no load from the weight store.
  7: string fetching,
}

struct Board {
  1: string availability_zone,
  2: string holder,
  3: i64 token,
  4: bool complete,
  // Negative: unknown.
  5: i32 orders_in,
  6: i32 backlog,
  7: i32 instances,
  8: list<TargetView> targets,
  9: list<string> gone,
  10: optional map<string, i64> offsets,
  // Loads that the weight store carries at full speed; absent if unknown.
  11: optional i32 store_capacity,
  // Absent if nothing has changed, and in messages of older builds.
  12: optional list<Evidence> evidence,
  // Absent if the holder grants no trials, as in older builds.
  13: optional list<TrialGrant> grants,
  // Era of the store that the token and the offsets belong to; absent if the
  // store names none, and in messages of older builds.
  14: optional i64 era,
}

// Exactly one of the two is set.
struct Message {
  1: optional Report report,
  2: optional Board board,
}
