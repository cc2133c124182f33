#include "workers/workerjson.h"

#include <random>

#include <nlohmann/json.hpp>

#include "workers/tests/stories.h"
#include "workers/types/workeraddress.h"
#include "workers/types/workerjsonlimits.h"

namespace oriolevane::workers {

using protocol::WorkerCommand;
using protocol::WorkerReport;
using testing::Section;

namespace {

std::string
AllBytes()
{
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

protocol::TaskKey
Task(std::uint32_t aIndex)
{
  return { .mRequest = RequestId("r\"1\n"), .mIndex = aIndex, .mAttempt = 2 };
}

ExchangeRequest
FullRequest()
{
  const Resources resources{
    .mMilliCores = 1, .mMemoryMiB = 2, .mAccelerators = 3, .mSlots = 4
  };
  return {
    .mCommand = { .mWorker = WorkerId("w1"),
                  .mShard = ShardId(3),
                  .mEpoch = Epoch(4),
                  .mSequence = 5,
                  .mIncarnation = Incarnation(~0ULL),
                  .mLeaseAnchor = std::chrono::milliseconds(6),
                  .mLeaseFor = std::chrono::milliseconds(7),
                  .mOrders = { protocol::StartOrder{ .mTask = Task(0),
                                                     .mPartition =
                                                       PartitionId(8),
                                                     .mResources = resources,
                                                     .mNeverRepeat = true,
                                                     .mPayload = AllBytes() },
                               protocol::StopOrder{ .mTask = Task(1),
                                                    .mCheckpoint = true },
                               protocol::ForgetOrder{ .mTask = Task(2) } } },
    .mReportTo = "http://127.0.0.1:1/v1/worker-reports"
  };
}

WorkerReport
FullReport()
{
  return { .mWorker = WorkerId("w1"),
           .mIncarnation = Incarnation(2),
           .mSequence = 3,
           .mClock = std::chrono::milliseconds(4),
           .mShard = ShardId(5),
           .mHighestEpoch = Epoch(6),
           .mFenced = true,
           .mLeaving = true,
           .mCommandSequence = 7,
           .mRunning = { { .mTask = Task(0), .mPartition = PartitionId(1) } },
           .mEnded = { { .mTask = Task(1),
                         .mPartition = PartitionId(2),
                         .mSucceeded = true,
                         .mAnswer = AllBytes() } } };
}

// The fault that a report with one change is refused for.
std::string
FaultOf(const std::string& aPointer, const nlohmann::json& aValue)
{
  nlohmann::json json =
    nlohmann::json::parse(*EncodeWorkerReport(FullReport()));
  json[nlohmann::json::json_pointer(aPointer)] = aValue;
  return std::string(ParseWorkerReport(json.dump()).status().message());
}

void
RoundTrips(Section& aSection)
{
  aSection.It("keeps every field of a command and any payload bytes", [] {
    const ExchangeRequest request = FullRequest();
    const auto parsed = ParseExchangeRequest(*EncodeExchangeRequest(request));
    CPPUNIT_ASSERT(parsed.ok());
    CPPUNIT_ASSERT(parsed->mCommand == request.mCommand);
    CPPUNIT_ASSERT_EQUAL(request.mReportTo, parsed->mReportTo);
  });
  aSection.It("keeps every field of a report and any answer bytes", [] {
    const WorkerReport report = FullReport();
    const auto parsed = ParseWorkerReport(*EncodeWorkerReport(report));
    CPPUNIT_ASSERT(parsed.ok());
    CPPUNIT_ASSERT(*parsed == report);
  });
  aSection.It("refuses to write an identifier that is not UTF-8", [] {
    WorkerReport report = FullReport();
    report.mRunning[0].mTask.mRequest = RequestId("\xff");
    CPPUNIT_ASSERT(!EncodeWorkerReport(report).ok());
  });
}

void
BadFields(Section& aSection)
{
  const auto check = [&aSection](const std::string& aPointer,
                                 const nlohmann::json& aValue,
                                 const std::string& aFault) {
    aSection.It(aPointer + " = " + aValue.dump().substr(0, 20), [=] {
      CPPUNIT_ASSERT_EQUAL(aFault, FaultOf(aPointer, aValue));
    });
  };
  check("/worker", "", "worker: empty");
  check("/worker", 1, "worker: not a string");
  check("/worker", std::string(257, 'x'), "worker: longer than 256 bytes");
  check("/sequence", -1, "sequence: not a non-negative integer");
  check("/sequence", 1.5, "sequence: not a non-negative integer");
  check("/shard", 1ULL << 32U, "shard: above 4294967295");
  check("/clockMs", ~0ULL, "clockMs: above 3153600000000");
  check("/leaving", "yes", "leaving: not a boolean");
  check("/running",
        nlohmann::json::object(),
        "running: not an array of at most 8192 elements");
  check("/running/0/task/index",
        "0",
        "running[0].task.index: not a non-negative integer");
  check("/running/0/resources", 1, "running[0].resources: not an object");
  check("/running/0/resources/slots",
        1ULL << 60U,
        "running[0].resources.slots: above 1125899906842624");
  check("/running/0/task/index", 1, "ended[0].task: listed twice");
  check("/ended/0/answer", "%", "ended[0].answer: not base64");
  check("/ended/0/answer",
        std::string(kMaxAnswerBytes / 3 * 4 + 8, 'A'),
        "ended[0].answer: longer than 1048576 bytes");
  check("/ended/0/started",
        false,
        "ended[0].succeeded: true for a task that was not started");
}

void
HostileText(Section& aSection)
{
  aSection.It("gives an error for every cut text", [] {
    const std::string text = *EncodeExchangeRequest(FullRequest());
    for (std::size_t length = 0; length < text.size(); ++length) {
      CPPUNIT_ASSERT(!ParseExchangeRequest(text.substr(0, length)).ok());
    }
  });
  aSection.It("survives flipped bits", [] {
    const std::string text = *EncodeWorkerReport(FullReport());
    std::mt19937_64 random(7);
    for (int round = 0; round < 20000; ++round) {
      std::string flipped = text;
      const std::size_t at = random() % text.size();
      flipped[at] = static_cast<char>(flipped[at] ^ (1U << (random() % 8)));
      const auto parsed = ParseWorkerReport(flipped);
      CPPUNIT_ASSERT(parsed.ok() || !parsed.status().message().empty());
    }
  });
  aSection.It("refuses deep nesting and long bodies", [] {
    CPPUNIT_ASSERT(!ParseWorkerReport(std::string(100000, '[')).ok());
    CPPUNIT_ASSERT(
      !ParseWorkerReport(std::string(kMaxBodyBytes + 1, ' ')).ok());
  });
}

void
Addresses(Section& aSection)
{
  aSection.It("may have a path", [] {
    const auto address = ParseWorkerAddress("10.0.0.1:80/w/a/");
    CPPUNIT_ASSERT(address.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), address->mHost);
    CPPUNIT_ASSERT_EQUAL(std::string("/w/a"), address->mPath);
  });
  aSection.It("need a port and no line breaks", [] {
    for (const char* text : { "", "host", ":80", "h:", "h/a:80", "h:1/\r\n" }) {
      CPPUNIT_ASSERT(!ParseWorkerAddress(text).ok());
    }
  });
}

} // namespace

void
WorkerJsonStory(Section& aStory)
{
  aStory.Describe("a round trip", RoundTrips);
  aStory.Describe("a bad field is named", BadFields);
  aStory.Describe("hostile text", HostileText);
  aStory.Describe("addresses", Addresses);
}

} // namespace oriolevane::workers
