#include "codec/codec.h"

#include "codec/tests/randommessages.h"
#include "codec/tests/stories.h"

namespace oriolevane::codec {

using testing::Section;

void
RoundTripStory(Section& aStory)
{
  aStory.It("keeps random messages of every kind, aligned or not", [] {
    RandomMessages random(1);
    constexpr std::size_t kRounds = 300;
    for (std::size_t i = 0; i < kRounds * RandomMessages::kKinds; ++i) {
      const PeerFrame frame{ .mEnvelope = random.From(),
                             .mMessage = random.Message(i) };
      const auto encoded = Encode(frame.mEnvelope, frame.mMessage);
      CPPUNIT_ASSERT(encoded.ok());
      const std::size_t shift = i % 9;
      const std::string shifted = std::string(shift, '\0') + *encoded;
      const auto decoded = Decode(std::string_view(shifted).substr(shift));
      CPPUNIT_ASSERT_MESSAGE(decoded.status().ToString(), decoded.ok());
      CPPUNIT_ASSERT(*decoded == frame);
    }
  });
  aStory.It("keeps an answer of the longest kind", [] {
    const PeerMessage message = protocol::ToCoordinator(
      protocol::TaskUpdate{ .mTask = { .mRequest = RequestId("r") },
                            .mAnswer = std::string(1024UL * 1024, '\xff') });
    const auto encoded = Encode({ .mFrom = NodeId("n") }, message);
    CPPUNIT_ASSERT(encoded.ok());
    CPPUNIT_ASSERT(Decode(*encoded)->mMessage == message);
  });
  aStory.It("keeps a hello", [] {
    const Hello hello{ .mProtocolVersion = 9,
                       .mNode = NodeId("n"),
                       .mIncarnation = Incarnation(8) };
    CPPUNIT_ASSERT(*DecodeHello(EncodeHello(hello)) == hello);
    CPPUNIT_ASSERT(!DecodeHello("").ok());
    CPPUNIT_ASSERT(!DecodeHello("GET / HTTP/1.1\r\n").ok());
  });
  aStory.It("refuses to encode a frame above the limit", [] {
    const auto encoded =
      Encode({ .mFrom = NodeId("n") },
             ConfigurationBody{ .mBytes = std::string(kMaxFrameBytes, 'x') });
    CPPUNIT_ASSERT(absl::IsResourceExhausted(encoded.status()));
  });
}

} // namespace oriolevane::codec
