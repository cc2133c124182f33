#include "peers/internal/framing.h"

#include <random>
#include <vector>

#include "peers/internal/connectionhealth.h"
#include "peers/internal/dialbackoff.h"
#include "peers/internal/sendqueues.h"
#include "peers/tests/stories.h"

namespace oriolevane::peers {

using std::chrono::milliseconds;
using testing::Section;

namespace {

constexpr std::size_t kMaxBody = 1000;

void
Frames(Section& aSection)
{
  aSection.It("come out whole however the stream is cut", [] {
    std::mt19937_64 random(5);
    for (int round = 0; round < 200; ++round) {
      std::vector<std::string> bodies;
      std::string stream;
      for (int i = 0; i < 20; ++i) {
        bodies.emplace_back(random() % kMaxBody, static_cast<char>(random()));
        AppendFrame(stream, FrameKind::Message, bodies.back());
      }
      FrameReader reader(kMaxBody);
      std::vector<std::string> read;
      for (std::size_t at = 0; at < stream.size();) {
        const std::size_t length = 1 + random() % 700;
        reader.Append(std::string_view(stream).substr(at, length));
        at += length;
        while (auto frame = *reader.Next()) {
          read.emplace_back(frame->mBody);
        }
      }
      CPPUNIT_ASSERT(read == bodies);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reader.BufferedBytes());
    }
  });
  aSection.It("above the limit are refused by their length alone", [] {
    FrameReader reader(kMaxBody);
    reader.Append(std::string("\x00\x00\x03\xea", 4));
    CPPUNIT_ASSERT(!reader.Next().ok());
  });
  aSection.It("without a kind, or of an unknown kind, are refused", [] {
    for (const std::string& bytes : { std::string(4, '\0'),
                                      std::string("\0\0\0\1\0", 5),
                                      std::string("\0\0\0\1\4", 5) }) {
      FrameReader reader(kMaxBody);
      reader.Append(bytes);
      CPPUNIT_ASSERT(!reader.Next().ok());
    }
  });
}

void
Healths(Section& aSection)
{
  const HealthLimits limits{ .mPingInterval = milliseconds(5),
                             .mSilenceLimit = milliseconds(20),
                             .mStallLimit = milliseconds(50) };
  const TimePoint start{ std::chrono::hours(1) };
  aSection.It("is silent when only pings of its own go out", [=] {
    ConnectionHealth health(start);
    health.Queued(start + milliseconds(18));
    CPPUNIT_ASSERT(health.Judge(start + milliseconds(19), limits) ==
                   Health::Fine);
    CPPUNIT_ASSERT(health.Judge(start + milliseconds(20), limits) ==
                   Health::Silent);
  });
  aSection.It("is stalled when the other end speaks but takes nothing", [=] {
    ConnectionHealth health(start);
    health.Received(start + milliseconds(49));
    CPPUNIT_ASSERT(health.Judge(start + milliseconds(50), limits) ==
                   Health::Stalled);
  });
  aSection.It("needs no ping while messages go out", [=] {
    ConnectionHealth health(start);
    health.Queued(start + milliseconds(4));
    CPPUNIT_ASSERT(health.Judge(start + milliseconds(8), limits) ==
                   Health::Fine);
    CPPUNIT_ASSERT(health.Judge(start + milliseconds(9), limits) ==
                   Health::PingDue);
  });
}

void
Queues(Section& aSection)
{
  const NodeId peer("p");
  aSection.It("refuse more frames or bytes than their bounds", [=] {
    SendQueues queues(2, 100);
    CPPUNIT_ASSERT(!queues.Push(peer, {}));
    queues.Open(peer);
    CPPUNIT_ASSERT(!queues.Push(peer, { .mBody = std::string(101, 'x') }));
    CPPUNIT_ASSERT(queues.Push(peer, { .mBody = std::string(60, 'x') }));
    CPPUNIT_ASSERT(!queues.Push(peer, { .mBody = std::string(60, 'x') }));
    CPPUNIT_ASSERT(queues.Push(peer, { .mBody = "x" }));
    CPPUNIT_ASSERT(!queues.Push(peer, { .mBody = "x" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, queues.Take(peer, 1000).size());
    CPPUNIT_ASSERT(queues.Push(peer, { .mBody = std::string(100, 'x') }));
  });
  aSection.It("wake the sending thread once until it looks", [=] {
    SendQueues queues(2, 100);
    CPPUNIT_ASSERT(queues.MarkWoken());
    CPPUNIT_ASSERT(!queues.MarkWoken());
    queues.ClearWoken();
    CPPUNIT_ASSERT(queues.MarkWoken());
  });
}

} // namespace

void
FramingStory(Section& aStory)
{
  aStory.Describe("frames", Frames);
  aStory.Describe("a connection", Healths);
  aStory.Describe("queues", Queues);
  aStory.It("backs off with jitter up to the most", [] {
    std::mt19937_64 random(1);
    DialBackoff backoff(milliseconds(100), milliseconds(1000));
    milliseconds upper(100);
    for (int i = 0; i < 10; ++i) {
      const milliseconds wait = backoff.Next(random);
      CPPUNIT_ASSERT(wait >= upper / 2 && wait <= upper);
      upper = std::min(upper * 2, milliseconds(1000));
    }
    backoff.Reset();
    CPPUNIT_ASSERT(backoff.Next(random) <= milliseconds(100));
  });
}

} // namespace oriolevane::peers
