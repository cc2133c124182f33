#include "codec/codec.h"

#include <peer_generated.h>

#include "codec/tests/randommessages.h"
#include "codec/tests/stories.h"

namespace oriolevane::codec {

using testing::Section;

namespace {

// What a frame with one task update is refused for, after aChange.
std::string
FaultOf(const std::function<void(wire::TaskUpdateBuilder&)>& aChange)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto request = builder.CreateString("r");
  const auto task = wire::CreateTaskKey(builder, request, 0, 1);
  const auto from = builder.CreateString("n");
  const wire::Route route(1, 2, 3, 4);
  wire::TaskUpdateBuilder table(builder);
  table.add_route(&route);
  table.add_task(task);
  aChange(table);
  const auto update = table.Finish();
  builder.Finish(wire::CreateFrame(
    builder, from, 1, wire::Body::TaskUpdate, update.Union()));
  const auto decoded =
    Decode({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
             builder.GetSize() });
  return std::string(decoded.status().message());
}

void
Damaged(Section& aSection)
{
  aSection.It("that were cut anywhere give an error", [] {
    RandomMessages random(2);
    for (std::size_t kind = 0; kind < RandomMessages::kKinds; ++kind) {
      const std::string frame = *Encode(random.From(), random.Message(kind));
      for (std::size_t length = 0; length < frame.size(); ++length) {
        const auto decoded = Decode(std::string_view(frame).substr(0, length));
        CPPUNIT_ASSERT(!decoded.ok() || frame.find_first_not_of('\0', length) ==
                                          std::string::npos);
      }
    }
  });
  aSection.It("with flipped bits give an error or another message", [] {
    RandomMessages random(3);
    for (std::size_t round = 0; round < 40000; ++round) {
      std::string frame = *Encode(random.From(), random.Message(round));
      for (std::size_t flips = 1 + round % 3; flips > 0; --flips) {
        const std::size_t at = random.Random()() % frame.size();
        frame[at] = static_cast<char>(frame[at] ^ (1U << (round % 8)));
      }
      const auto decoded = Decode(frame);
      CPPUNIT_ASSERT(decoded.ok() || absl::IsInvalidArgument(decoded.status()));
    }
  });
  aSection.It("of random bytes give an error", [] {
    RandomMessages random(4);
    for (std::size_t round = 0; round < 10000; ++round) {
      std::string frame(random.Random()() % 200, '\0');
      for (char& byte : frame) {
        byte = static_cast<char>(random.Random()());
      }
      CPPUNIT_ASSERT(!Decode(frame).ok());
    }
  });
}

void
Forged(Section& aSection)
{
  aSection.It("with nothing wrong are taken", [] {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FaultOf([](wire::TaskUpdateBuilder&) {}));
  });
  aSection.It("with a state that does not exist are refused", [] {
    CPPUNIT_ASSERT_EQUAL(
      std::string("state: unknown value"),
      FaultOf([](wire::TaskUpdateBuilder& aTable) { aTable.add_state(200); }));
  });
  aSection.It("with an endless time are refused", [] {
    CPPUNIT_ASSERT_EQUAL(std::string("retry_after_ms: time out of range"),
                         FaultOf([](wire::TaskUpdateBuilder& aTable) {
                           aTable.add_retry_after_ms(
                             std::numeric_limits<std::int64_t>::min());
                         }));
  });
  aSection.It("without a body are refused", [] {
    flatbuffers::FlatBufferBuilder builder;
    const auto from = builder.CreateString("n");
    builder.Finish(wire::CreateFrame(builder, from));
    const auto decoded =
      Decode({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize() });
    CPPUNIT_ASSERT_EQUAL(std::string("body: missing"),
                         std::string(decoded.status().message()));
  });
  aSection.It("that list the same long text many times are refused", [] {
    flatbuffers::FlatBufferBuilder builder;
    const auto from = builder.CreateString("n");
    const auto text = builder.CreateString(std::string(1000, 'x'));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> texts(60000,
                                                                      text);
    const auto avoid = builder.CreateVector(texts);
    const wire::Route route(1, 2, 3, 4);
    wire::PlaceTasksBuilder table(builder);
    table.add_route(&route);
    table.add_request(from);
    table.add_avoid(avoid);
    const auto place = table.Finish();
    builder.Finish(wire::CreateFrame(
      builder, from, 1, wire::Body::PlaceTasks, place.Union()));
    const auto decoded =
      Decode({ reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize() });
    CPPUNIT_ASSERT_EQUAL(std::string("avoid: more bytes than the frame has"),
                         std::string(decoded.status().message()));
  });
  aSection.It("above the limit are refused unread", [] {
    CPPUNIT_ASSERT(!Decode(std::string(kMaxFrameBytes + 1, '\0')).ok());
  });
}

} // namespace

void
HostileFrameStory(Section& aStory)
{
  aStory.Describe("damaged", Damaged);
  aStory.Describe("forged", Forged);
}

} // namespace oriolevane::codec
