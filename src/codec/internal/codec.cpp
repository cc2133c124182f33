#include "codec/codec.h"

#include <array>
#include <cstring>
#include <type_traits>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "codec/internal/callerwire.h"
#include "codec/internal/nodewire.h"
#include "codec/internal/placerwire.h"

namespace oriolevane::codec {

namespace {

constexpr std::size_t kFirstBufferBytes = 512;
constexpr flatbuffers::uoffset_t kMaxDepth = 16;
constexpr flatbuffers::uoffset_t kMaxTables = 200000;
constexpr std::size_t kAlignment = 8;

template<typename Value>
struct IsVariant : std::false_type
{
};
template<typename... Alternatives>
struct IsVariant<std::variant<Alternatives...>> : std::true_type
{
};

// A message and its place in the union of the frame.
struct WrittenBody
{
  wire::Body mType = wire::Body::NONE;
  Offset<void> mTable;
};

template<typename Table>
WrittenBody
BodyOf(Offset<Table> aTable)
{
  return { wire::BodyTraits<Table>::enum_value, aTable.Union() };
}

template<typename Message>
WrittenBody
WriteBody(FlatBufferBuilder& aBuilder, const Message& aMessage)
{
  if constexpr (IsVariant<Message>::value) {
    return std::visit(
      [&](const auto& aInner) { return WriteBody(aBuilder, aInner); },
      aMessage);
  } else {
    return BodyOf(Write(aBuilder, aMessage));
  }
}

template<typename Group, typename Table>
PeerMessage
ReadAs(WireReader& aReader, const void* aTable)
{
  return Group(Read(aReader, *static_cast<const Table*>(aTable)));
}

PeerMessage
ReadBody(WireReader& aReader, wire::Body aType, const void* aTable)
{
  using protocol::ToCoordinator;
  using protocol::ToPlacer;
  switch (aType) {
    case wire::Body::PlaceTasks:
      return ReadAs<ToPlacer, wire::PlaceTasks>(aReader, aTable);
    case wire::Body::CommitHold:
      return ReadAs<ToPlacer, wire::CommitHold>(aReader, aTable);
    case wire::Body::CancelTasks:
      return ReadAs<ToPlacer, wire::CancelTasks>(aReader, aTable);
    case wire::Body::UpdateAck:
      return ReadAs<ToPlacer, wire::UpdateAck>(aReader, aTable);
    case wire::Body::ReconcileQuery:
      return ReadAs<ToPlacer, wire::ReconcileQuery>(aReader, aTable);
    case wire::Body::TaskUpdate:
      return ReadAs<ToCoordinator, wire::TaskUpdate>(aReader, aTable);
    case wire::Body::TasksHeld:
      return ReadAs<ToCoordinator, wire::TasksHeld>(aReader, aTable);
    case wire::Body::ReconcileAnswer:
      return ReadAs<ToCoordinator, wire::ReconcileAnswer>(aReader, aTable);
    case wire::Body::ShardDigest:
      return ReadAs<protocol::ShardDigest, wire::ShardDigest>(aReader, aTable);
    case wire::Body::CallerCall:
      return ReadAs<protocol::CallerCall, wire::CallerCall>(aReader, aTable);
    case wire::Body::CallerReply:
      return ReadAs<protocol::CallerReply, wire::CallerReply>(aReader, aTable);
    case wire::Body::Heartbeat:
      return ReadAs<Heartbeat, wire::Heartbeat>(aReader, aTable);
    case wire::Body::ConfigurationPull:
      return ReadAs<ConfigurationPull, wire::ConfigurationPull>(aReader,
                                                                aTable);
    case wire::Body::ConfigurationBody:
      return ReadAs<ConfigurationBody, wire::ConfigurationBody>(aReader,
                                                                aTable);
    case wire::Body::NONE:
      break;
  }
  aReader.Fail("body", "unknown kind of message");
  return {};
}

std::string
TakeBytes(const FlatBufferBuilder& aBuilder)
{
  return { reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
           aBuilder.GetSize() };
}

// The accessors read numbers in place and want them aligned, so bytes that are
// not are copied.
class AlignedBytes
{
public:
  explicit AlignedBytes(std::string_view aBytes)
    : mData(reinterpret_cast<const std::uint8_t*>(aBytes.data()))
  {
    if (reinterpret_cast<std::uintptr_t>(mData) % kAlignment != 0) {
      mCopy.resize((aBytes.size() + kAlignment - 1) / kAlignment);
      std::memcpy(mCopy.data(), aBytes.data(), aBytes.size());
      mData = reinterpret_cast<const std::uint8_t*>(mCopy.data());
    }
  }
  const std::uint8_t* Data() const { return mData; }

private:
  std::vector<std::uint64_t> mCopy;
  const std::uint8_t* mData;
};

absl::StatusOr<PeerFrame>
DecodeAligned(const std::uint8_t* aBytes, std::size_t aSize)
{
  flatbuffers::Verifier verifier(aBytes, aSize, kMaxDepth, kMaxTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return absl::InvalidArgumentError("frame: not a valid buffer");
  }
  const wire::Frame* frame = wire::GetFrame(aBytes);
  WireReader reader(aSize);
  PeerFrame decoded;
  decoded.mEnvelope.mFrom = NodeId(reader.OptionalId(frame->from(), "from"));
  decoded.mEnvelope.mFromIncarnation = Incarnation(frame->from_incarnation());
  if (frame->body() == nullptr) {
    reader.Fail("body", "missing");
  } else {
    decoded.mMessage = ReadBody(reader, frame->body_type(), frame->body());
  }
  if (!reader.Result().ok()) {
    return reader.Result();
  }
  return decoded;
}

} // namespace

absl::StatusOr<std::string>
Encode(const Envelope& aEnvelope, const PeerMessage& aMessage)
{
  FlatBufferBuilder builder(kFirstBufferBytes);
  const WrittenBody body = WriteBody(builder, aMessage);
  const auto from = WriteText(builder, aEnvelope.mFrom.mValue);
  builder.Finish(wire::CreateFrame(
    builder, from, aEnvelope.mFromIncarnation.mValue, body.mType, body.mTable));
  if (builder.GetSize() > kMaxFrameBytes) {
    return absl::ResourceExhaustedError(
      fmt::format("frame of {} bytes is too long", builder.GetSize()));
  }
  return TakeBytes(builder);
}

absl::StatusOr<PeerFrame>
Decode(std::string_view aFrame)
{
  if (aFrame.empty() || aFrame.size() > kMaxFrameBytes) {
    return absl::InvalidArgumentError(
      fmt::format("frame: {} bytes", aFrame.size()));
  }
  const AlignedBytes bytes(aFrame);
  return DecodeAligned(bytes.Data(), aFrame.size());
}

std::string
EncodeHello(const Hello& aHello)
{
  FlatBufferBuilder builder(kFirstBufferBytes);
  const auto node = WriteText(builder, aHello.mNode.mValue);
  builder.Finish(wire::CreateHello(
    builder, aHello.mProtocolVersion, node, aHello.mIncarnation.mValue));
  return TakeBytes(builder);
}

absl::StatusOr<Hello>
DecodeHello(std::string_view aFrame)
{
  const AlignedBytes bytes(aFrame);
  flatbuffers::Verifier verifier(
    bytes.Data(), aFrame.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<wire::Hello>(nullptr)) {
    return absl::InvalidArgumentError("hello: not a valid buffer");
  }
  const auto* table = flatbuffers::GetRoot<wire::Hello>(bytes.Data());
  WireReader reader(aFrame.size());
  Hello hello{ .mProtocolVersion = table->protocol_version(),
               .mNode = NodeId(reader.Id(table->node(), "node")),
               .mIncarnation = Incarnation(table->incarnation()) };
  if (!reader.Result().ok()) {
    return reader.Result();
  }
  return hello;
}

std::string_view
MessageKindName(std::size_t aIndex)
{
  constexpr std::array<std::string_view, kMessageKinds> kNames{
    "to_placer",    "to_coordinator", "shard_digest",       "caller_call",
    "caller_reply", "heartbeat",      "configuration_pull", "configuration_body"
  };
  return kNames.at(aIndex);
}

} // namespace oriolevane::codec
