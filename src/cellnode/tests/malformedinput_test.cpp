#include <random>

#include "cellnode/internal/peercodec.h"
#include "cellnode/internal/peermessages.h"
#include "cellnode/internal/relaymessages.h"
#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;

namespace {

constexpr int kTrials = 3'000;

// Changes a few bytes, cuts the text off, or repeats a part of it.
std::string
Damaged(std::string aText, std::mt19937_64& aRandom)
{
  const int changes = 1 + static_cast<int>(aRandom() % 4);
  for (int change = 0; change < changes && !aText.empty(); ++change) {
    const std::size_t at = aRandom() % aText.size();
    switch (aRandom() % 4) {
      case 0:
        aText.resize(at);
        break;
      case 1:
        aText.insert(at, aText.substr(at, aRandom() % 16));
        break;
      default:
        aText[at] = static_cast<char>(aRandom() % 256);
        break;
    }
  }
  return aText;
}

std::vector<std::string>
Frames()
{
  const jobs::TaskKey task{ .mStep = { .mJob = jobs::JobId("job") } };
  jobs::PollAnswer poll{ .mResult = jobs::OrderResult::Done, .mReport = {} };
  poll.mReport.mRunning = { { .mTask = task, .mRun = jobs::RunNumber(1) } };
  poll.mReport.mEnded = { { .mSerial = 1, .mTask = task } };
  cellwire::WorkerCallBatchT calls;
  calls.starts.push_back(std::make_unique<cellwire::StartCallT>(
    ToWire(1, jobs::StartOrder{ .mTask = task }, Duration(1))));
  calls.polls.push_back(std::make_unique<cellwire::PollCallT>(
    ToWire(2, jobs::PollOrder{}, Duration(1))));
  cellwire::WorkerAnswerBatchT answers;
  answers.polls.push_back(
    std::make_unique<cellwire::PollReplyT>(ToWire(2, poll)));
  return {
    EncodeFrame(ToWire(1, CallerRequest{ .mPath = "/queue/1" }, Epoch(1))),
    EncodeFrame(ToWire(1, CallerAnswer{ .mMessage = "message" })),
    EncodeFrame(ToWire(1, jobs::AdviceQuery{ .mWorkers = { WorkerId("w") } })),
    EncodeFrame(std::move(calls)),
    EncodeFrame(std::move(answers))
  };
}

// Converts the body of the message as its receiver does.
void
Read(const cellwire::MessageT& aMessage)
{
  if (const auto* request = aMessage.body.AsCallerRequest()) {
    static_cast<void>(FromWire(*request));
  } else if (const auto* answer = aMessage.body.AsCallerAnswer()) {
    static_cast<void>(FromWire(*answer));
  } else if (const auto* query = aMessage.body.AsAdviceQuery()) {
    FromWire(*query);
  } else if (const auto* calls = aMessage.body.AsWorkerCallBatch()) {
    for (const auto& start : calls->starts) {
      FromWire(*start);
    }
  } else if (const auto* answers = aMessage.body.AsWorkerAnswerBatch()) {
    for (const auto& poll : answers->polls) {
      FromWire(*poll);
    }
  }
}

// A frame whose list has that many entries, all of which are the same text.
std::string
FrameWithSharedText(std::size_t aEntries, std::size_t aTextBytes)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(aTextBytes, 'x'));
  const auto workers = builder.CreateVector(
    std::vector<flatbuffers::Offset<flatbuffers::String>>(aEntries, text));
  cellwire::AdviceQueryBuilder query(builder);
  query.add_workers(workers);
  const auto body = query.Finish();
  builder.Finish(cellwire::CreateMessage(
    builder, cellwire::Body::AdviceQuery, body.Union()));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

// The same with a table of a text.
std::string
FrameWithSharedTable(std::size_t aEntries, std::size_t aTextBytes)
{
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(aTextBytes, 'x'));
  const auto ticket = cellwire::CreateTicket(builder, text, text);
  const auto approved = builder.CreateVector(
    std::vector<flatbuffers::Offset<cellwire::Ticket>>(aEntries, ticket));
  cellwire::AdviceAnswerBuilder answer(builder);
  answer.add_approved(approved);
  const auto body = answer.Finish();
  builder.Finish(cellwire::CreateMessage(
    builder, cellwire::Body::AdviceAnswer, body.Union()));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

} // namespace

void
MalformedInputTests(Section& aRoot)
{
  // These guard against a node that ends because of one damaged message or row:
  // an exception that leaves a decoder ends the process.
  aRoot.Describe("damaged input", [](Section& aSection) {
    aSection.It("is read or refused when it comes from a peer", [] {
      std::mt19937_64 random(1);
      int refused = 0;
      for (const std::string& frame : Frames()) {
        CPPUNIT_ASSERT(DecodeFrame(frame).ok());
        for (int trial = 0; trial < kTrials; ++trial) {
          const auto message = DecodeFrame(Damaged(frame, random));
          if (message.ok()) {
            Read(*message);
          }
          refused += message.ok() ? 0 : 1;
        }
      }
      CPPUNIT_ASSERT(refused > kTrials);
    });
    // Guards against a frame of a few megabytes that takes gigabytes of memory.
    aSection.It("is refused when it refers to one text or table often", [] {
      constexpr std::size_t kEntries = 1'000;
      constexpr std::size_t kTextBytes = 10'000;
      CPPUNIT_ASSERT(DecodeFrame(FrameWithSharedText(1, kTextBytes)).ok());
      CPPUNIT_ASSERT(
        !DecodeFrame(FrameWithSharedText(kEntries, kTextBytes)).ok());
      CPPUNIT_ASSERT(
        !DecodeFrame(FrameWithSharedTable(kEntries, kTextBytes)).ok());
      CPPUNIT_ASSERT(!DecodeFrame(FrameWithSharedTable(kEntries, 0)).ok());
    });
    // Guards against limits that a list of small entries meets.
    aSection.It("does not include large lists of small entries", [] {
      constexpr std::size_t kEntries = 5'000;
      cellwire::WorkerAnswerBatchT answers;
      for (std::size_t i = 1; i <= kEntries; ++i) {
        cellwire::OrderReplyT reply;
        reply.id = i;
        answers.orders.push_back(
          std::make_unique<cellwire::OrderReplyT>(reply));
      }
      CPPUNIT_ASSERT(DecodeFrame(EncodeFrame(std::move(answers))).ok());
      jobs::AdviceQuery query{ .mWorkers = std::vector<WorkerId>(
                                 kEntries, WorkerId("w")) };
      CPPUNIT_ASSERT(DecodeFrame(EncodeFrame(ToWire(1, query))).ok());
    });
    aSection.It("is read or refused when it comes from the store", [] {
      std::mt19937_64 random(2);
      jobs::JobRecord job;
      job.mId = jobs::JobId("job");
      job.mSpec.mSteps = { { .mTaskCount = 2, .mAfter = { 0 } } };
      jobs::FinishedRecord finished;
      finished.mId = job.mId;
      int refused = 0;
      for (int trial = 0; trial < kTrials; ++trial) {
        refused += DecodeJob(Damaged(Encode(job), random)).ok() ? 0 : 1;
        refused +=
          DecodeFinished(Damaged(Encode(finished), random)).ok() ? 0 : 1;
        refused +=
          DecodeProgress(Damaged(Encode(jobs::ProgressRecord{}), random)).ok()
            ? 0
            : 1;
        refused +=
          DecodeWorker(Damaged(Encode(jobs::WorkerRecord{}), random)).ok() ? 0
                                                                           : 1;
        refused +=
          DecodeOwner(Damaged(Encode(OwnerRow{}), random)).ok() ? 0 : 1;
      }
      CPPUNIT_ASSERT(refused > kTrials);
    });
  });
}

} // namespace oriolevane
