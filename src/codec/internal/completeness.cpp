// A message that gains a field must not build until it is written and read
// here, in the schema and in the tests' random messages.
#include "codec/types/peermessage.h"
#include "framework/fieldcount.h"

namespace oriolevane::codec {

static_assert(FieldCount<Resources>() == 4);
static_assert(FieldCount<protocol::TaskKey>() == 3);
static_assert(FieldCount<protocol::Route>() == 4);

static_assert(FieldCount<protocol::PlaceTasks>() == 19);
static_assert(FieldCount<protocol::CommitHold>() == 3);
static_assert(FieldCount<protocol::CancelTasks>() == 3);
static_assert(FieldCount<protocol::UpdateAck>() == 2);
static_assert(FieldCount<protocol::ReconcileQuery>() == 1);
static_assert(FieldCount<protocol::TaskUpdate>() == 7);
static_assert(FieldCount<protocol::TasksHeld>() == 5);
static_assert(FieldCount<protocol::HeldTask>() == 3);
static_assert(FieldCount<protocol::ReconcileAnswer>() == 3);

static_assert(FieldCount<protocol::RequestSpec>() == 13);
static_assert(FieldCount<protocol::SubmitCall>() == 1);
static_assert(FieldCount<protocol::StatusCall>() == 3);
static_assert(FieldCount<protocol::CancelCall>() == 1);
static_assert(FieldCount<protocol::CallerCall>() == 3);
static_assert(FieldCount<protocol::TaskStatus>() == 5);
static_assert(FieldCount<protocol::TrailEntry>() == 3);
static_assert(FieldCount<protocol::RequestStatus>() == 7);
static_assert(FieldCount<protocol::CallerReply>() == 2);

static_assert(FieldCount<protocol::ShardDigest>() == 12);
static_assert(FieldCount<Heartbeat>() == 8);
static_assert(FieldCount<ConfigurationPull>() == 1);
static_assert(FieldCount<ConfigurationBody>() == 2);

static_assert(std::variant_size_v<protocol::ToPlacer> == 5);
static_assert(std::variant_size_v<protocol::ToCoordinator> == 3);
static_assert(std::variant_size_v<PeerMessage> == 8);
static_assert(protocol::kUrgencyLevels == 3);

} // namespace oriolevane::codec
