#include <sys/resource.h>
#include <unistd.h>

#include <event2/event.h>

#include "eventloop/framelink.h"
#include "eventloop/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace eventloop;
using namespace std::chrono_literals;

namespace {

const SocketAddress kAddress{ .mHost = "127.0.0.1", .mPort = 17801 };

// Counts the warnings of libevent, one for each accept that fails without a
// handler.
int acceptWarnings = 0;

// Lowers the limit on descriptors to those that are open, while it lives.
class NoMoreDescriptors
{
public:
  NoMoreDescriptors()
  {
    getrlimit(RLIMIT_NOFILE, &mOriginal);
    const int lowest = dup(STDIN_FILENO);
    close(lowest);
    rlimit limit = mOriginal;
    limit.rlim_cur = static_cast<rlim_t>(lowest);
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limit));
  }
  NoMoreDescriptors(const NoMoreDescriptors&) = delete;
  NoMoreDescriptors& operator=(const NoMoreDescriptors&) = delete;
  ~NoMoreDescriptors() { setrlimit(RLIMIT_NOFILE, &mOriginal); }

private:
  rlimit mOriginal{};
};

void
RunFor(EventLoop& aLoop, Duration aTime)
{
  const auto stop = aLoop.MakeTimer([&aLoop] { aLoop.Stop(); });
  stop->StartAfter(aTime);
  aLoop.Run();
}

void
ListenerTests(Section& aRoot)
{
  aRoot.Describe("a listener without descriptors", [](Section& aSection) {
    // Guards against a loop that does nothing but try to accept.
    aSection.It("pauses, and accepts once there are some", [] {
      EventLoop loop;
      std::unique_ptr<FrameLink> accepted;
      FrameListener listener(loop, [&](std::unique_ptr<FrameLink> aLink) {
        accepted = std::move(aLink);
        loop.Stop();
      });
      CPPUNIT_ASSERT(listener.Listen(kAddress).ok());
      const FrameLink link(loop, kAddress);
      acceptWarnings = 0;
      event_set_log_callback([](int, const char*) { ++acceptWarnings; });
      {
        const NoMoreDescriptors none;
        RunFor(loop, 50ms);
      }
      event_set_log_callback(nullptr);
      CPPUNIT_ASSERT(accepted == nullptr);
      CPPUNIT_ASSERT_EQUAL(0, acceptWarnings);
      loop.Run();
      CPPUNIT_ASSERT(accepted != nullptr);
    });
  });
}

} // namespace

void
FrameLinkTests(Section& aRoot)
{
  ListenerTests(aRoot);
  aRoot.Describe("two ends of a link", [](Section& aSection) {
    aSection.It(
      "receive whole frames and are notified when the peer closes", [] {
        EventLoop loop;
        std::unique_ptr<FrameLink> accepted;
        std::string received;
        bool closed = false;
        FrameListener listener(loop, [&](std::unique_ptr<FrameLink> aLink) {
          accepted = std::move(aLink);
          accepted->SetHooks({ .mOnFrame =
                                 [&](std::string_view aFrame) {
                                   received = std::string(aFrame);
                                   accepted->Send("answer");
                                 },
                               .mOnClosed =
                                 [&] {
                                   closed = true;
                                   loop.Stop();
                                 } });
        });
        CPPUNIT_ASSERT(listener.Listen(kAddress).ok());
        FrameLink link(loop, kAddress);
        std::string answer;
        link.SetHooks({ .mOnFrame =
                          [&](std::string_view aFrame) {
                            answer = std::string(aFrame);
                            link.Close();
                          },
                        .mOnClosed = {} });
        link.Send(std::string(100000, 'x'));
        loop.Run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 100000 }, received.size());
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), answer);
        CPPUNIT_ASSERT(closed);
      });
  });
  aRoot.Describe("a link whose peer does not read", [](Section& aSection) {
    // Guards against output that grows until the memory ends.
    aSection.It("fails before much waits to be sent", [] {
      constexpr int kFrames = 64;
      EventLoop loop;
      FrameListener listener(loop, [](std::unique_ptr<FrameLink>) {});
      CPPUNIT_ASSERT(listener.Listen(kAddress).ok());
      FrameLink link(loop, kAddress);
      int closed = 0;
      link.SetHooks({ .mOnFrame = {}, .mOnClosed = [&] {
                       ++closed;
                       loop.Stop();
                     } });
      const std::string frame(1 << 20, 'x');
      for (int count = 0; count < kFrames; ++count) {
        link.Send(frame);
      }
      CPPUNIT_ASSERT(!link.IsOpen());
      CPPUNIT_ASSERT_EQUAL(0, closed);
      loop.Run();
      CPPUNIT_ASSERT_EQUAL(1, closed);
    });
  });
  aRoot.Describe(
    "a link to an address without a listener", [](Section& aSection) {
      aSection.It("calls the closed hook of its owner", [] {
        EventLoop loop;
        FrameLink link(loop, { .mHost = "127.0.0.1", .mPort = 17802 });
        bool closed = false;
        link.SetHooks({ .mOnFrame = {}, .mOnClosed = [&] {
                         closed = true;
                         loop.Stop();
                       } });
        loop.Run();
        CPPUNIT_ASSERT(closed);
        CPPUNIT_ASSERT(!link.IsOpen());
      });
    });
}

} // namespace oriolevane
