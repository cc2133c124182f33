#include "cellnode/internal/peermessages.h"

#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;

namespace {

std::string
FrameWithoutBody(cellwire::Body aType)
{
  flatbuffers::FlatBufferBuilder builder;
  cellwire::MessageBuilder message(builder);
  message.add_body_type(aType);
  builder.Finish(message.Finish());
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace

void
PeerMessagesTests(Section& aRoot)
{
  aRoot.Describe("a frame", [](Section& aSection) {
    // The handler of the type would use a null pointer.
    aSection.It("that names a type and has no body is refused", [] {
      for (const cellwire::Body type : cellwire::EnumValuesBody()) {
        CPPUNIT_ASSERT(!DecodeFrame(FrameWithoutBody(type)).ok());
      }
    });
    // Nodes of a later build may send it, and the link must stay open.
    aSection.It("of an unknown type is decoded, to be ignored", [] {
      const auto message =
        DecodeFrame(FrameWithoutBody(static_cast<cellwire::Body>(200)));
      CPPUNIT_ASSERT(message.ok());
      CPPUNIT_ASSERT(message->body.AsHello() == nullptr);
    });
  });
  aRoot.Describe("a forwarded request", [](Section& aSection) {
    aSection.It("keeps the key and the freshness of the configuration", [] {
      const CallerRequest request{ .mVerb = CallerVerb::Cancel,
                                   .mVersion = ConfigurationVersion(4),
                                   .mCredential = CredentialKind::Key,
                                   .mKey = "key",
                                   .mConfigurationFresh = true };
      const auto back = FromWire(ToWire(1, request, Epoch(3)));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(back->mVerb == CallerVerb::Cancel);
      CPPUNIT_ASSERT(back->mVersion == ConfigurationVersion(4));
      CPPUNIT_ASSERT(back->mCredential == CredentialKind::Key);
      CPPUNIT_ASSERT_EQUAL(std::string("key"), back->mKey);
      CPPUNIT_ASSERT(back->mConfigurationFresh);
    });
    // Guards against a job that starts after the next owner has refused it.
    aSection.It("is served only in the term that it was sent in", [] {
      const auto call = ToWire(1, CallerRequest{}, Epoch(3));
      CPPUNIT_ASSERT(IsMeantFor(Epoch(3), call));
      CPPUNIT_ASSERT(!IsMeantFor(Epoch(5), call));
      CPPUNIT_ASSERT(IsMeantFor(Epoch(5), cellwire::CallerRequestT{}));
    });
    aSection.It("of an older build has an unknown credential", [] {
      const auto request = FromWire(cellwire::CallerRequestT{});
      CPPUNIT_ASSERT(request->mCredential == CredentialKind::Unknown);
    });
    aSection.It("is refused when a value is out of range", [] {
      cellwire::CallerRequestT call;
      call.verb = 3;
      CPPUNIT_ASSERT(!FromWire(call).ok());
      call.verb = 0;
      call.credential = 5;
      CPPUNIT_ASSERT(!FromWire(call).ok());
    });
  });
  aRoot.Describe("an owner's answer", [](Section& aSection) {
    // The kind is an index of the counters of answers, so such a value would
    // write outside them.
    aSection.It("is refused when a value is out of range", [] {
      cellwire::CallerAnswerT answer;
      answer.kind = static_cast<std::uint8_t>(kCallerAnswerKinds);
      CPPUNIT_ASSERT(!FromWire(answer).ok());
      answer.kind = 0;
      answer.state = 5;
      CPPUNIT_ASSERT(!FromWire(answer).ok());
    });
    aSection.It("carries every kind and the configuration version", [] {
      for (std::size_t kind = 0; kind < kCallerAnswerKinds; ++kind) {
        const CallerAnswer answer{ .mKind = static_cast<CallerAnswerKind>(kind),
                                   .mVersion = ConfigurationVersion(9) };
        const auto back = FromWire(ToWire(1, answer));
        CPPUNIT_ASSERT(back->mKind == answer.mKind);
        CPPUNIT_ASSERT(back->mVersion == answer.mVersion);
      }
    });
    // A node of an older build uses the kind as an index without a check.
    aSection.It("has a kind that a node of an older build knows", [] {
      for (std::size_t kind = 0; kind < kCallerAnswerKinds; ++kind) {
        const CallerAnswer answer =
          ForNodeWithoutKeys({ .mKind = static_cast<CallerAnswerKind>(kind) });
        CPPUNIT_ASSERT(answer.mKind <= CallerAnswerKind::Undetermined);
      }
    });
  });
}

} // namespace oriolevane
