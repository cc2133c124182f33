// A request handler with a scheduler and a journal, for tests.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cellnode/internal/callerrequesthandler.h"

namespace oriolevane::cellnode {

using namespace std::chrono_literals;

inline const std::string kFirstJob = "00000000000000a1";
inline const std::string kSecondJob = "00000000000000a2";

inline CallerRequest
Submission(const std::string& aJob)
{
  return { .mVerb = CallerVerb::Submit,
           .mHost = "cell.example",
           .mPath = "/q/" + aJob };
}

// A request handler of an owner whose store answers only in
// AnswerTransaction().
struct CallerRequestFixture
{
  TimePoint mNow{ 1000s };
  std::function<void(absl::StatusOr<CommitAnswer>)> mAnswerCommit;
  ExternalFormats mFormats;
  jobs::CellScheduler mScheduler;
  CellJournal mJournal;
  CallerAuthorizer mAuthorizer{ {} };
  CallerRequestHandler mHandler;
  std::vector<CallerAnswer> mAnswers;
  // How long a new query to the policy service would wait.
  Duration mAdviceWait{};

  explicit CallerRequestFixture(const jobs::SchedulerOptions& aOptions = {})
    : mFormats({ .mDecodeJob =
                   [](std::string_view) {
                     return jobs::JobSpec{ .mSteps = { { .mTaskCount = 1 } } };
                   } })
    , mScheduler(aOptions,
                 { .mStart = [](const jobs::StartOrder&) {},
                   .mStop = [](const jobs::StopOrder&) {},
                   .mPoll = [](const jobs::PollOrder&) {},
                   .mAskAdvice = [](const jobs::AdviceQuery&) {},
                   .mOnFenced = [](const WorkerId&) {} })
    , mJournal({},
               {},
               RowVersion(1),
               mScheduler.Records(),
               { .mCommit =
                   [this](const RowTransaction&, Duration, auto aDone) {
                     mAnswerCommit = std::move(aDone);
                   },
                 .mValueOf =
                   [this](const jobs::RecordKey& aKey) {
                     return mScheduler.ValueOf(aKey);
                   },
                 .mOnRecorded =
                   [this](jobs::RecordPosition aPosition) {
                     mHandler.OnRecorded(aPosition);
                   },
                 .mOnOwnershipLost = [] {},
                 .mNow = [this] { return mNow; },
                 .mOnCommitted = [](Duration) {} })
    , mHandler(mFormats,
               mScheduler,
               mJournal,
               { .mNow = [this] { return jobs::Moment{ .mSteady = mNow }; },
                 .mAuthorize =
                   [this](const CallerRequest& aRequest,
                          const AuthorizationTarget& aTarget) {
                     return mAuthorizer.Authorize(
                       aRequest, aTarget, BootTimePoint(1s));
                   },
                 .mAdviceWait = [this] { return mAdviceWait; },
                 .mOnWork = [] {} })
  {
    mScheduler.Configure({ .mVersion = ConfigurationVersion(1),
                           .mQueues = { { .mName = jobs::QueueName("q"),
                                          .mHost = "cell.example",
                                          .mPathPrefix = "/q/" } } },
                         { .mSteady = mNow });
  }

  // Sends the next transaction, unless one is pending.
  void SendTransaction() { mJournal.Tick(mNow); }
  void AnswerTransaction(bool aApplied)
  {
    std::exchange(mAnswerCommit, nullptr)(CommitAnswer{ .mApplied = aApplied });
  }
  // Sends a transaction with all changes, which the store applies.
  void CommitTransaction()
  {
    mNow += 1s;
    SendTransaction();
    AnswerTransaction(true);
  }
  // Adds teams "a" and "b", each with its name as key, and a public queue.
  void RequireKeys()
  {
    jobs::CellConfiguration configuration = mScheduler.Configuration();
    configuration.mTeams = { { .mName = TeamId("a"), .mKeys = { "a" } },
                             { .mName = TeamId("b"), .mKeys = { "b" } } };
    configuration.mQueues.push_back({ .mName = jobs::QueueName("p"),
                                      .mHost = "cell.example",
                                      .mPathPrefix = "/p/",
                                      .mPublic = true });
    Configure(configuration);
  }
  void Configure(const jobs::CellConfiguration& aConfiguration)
  {
    mScheduler.Configure(aConfiguration, { .mSteady = mNow });
    mAuthorizer.Configure(aConfiguration);
  }
  // Returns the kind of the answer, or nothing while a change is being stored.
  // An empty key sends none.
  std::optional<CallerAnswerKind> Call(CallerVerb aVerb,
                                       const std::string& aPath,
                                       const std::string& aKey)
  {
    const CallerRequest request{ .mVerb = aVerb,
                                 .mHost = "cell.example",
                                 .mPath = aPath,
                                 .mCredential = aKey.empty()
                                                  ? CredentialKind::Absent
                                                  : CredentialKind::Key,
                                 .mKey = aKey };
    std::optional<CallerAnswerKind> kind;
    mHandler.Serve(
      request, [&kind](const CallerAnswer& aAnswer) { kind = aAnswer.mKind; });
    return kind;
  }
  // The same without a key, for answers that come later.
  void Call(CallerVerb aVerb,
            const std::string& aPath,
            std::optional<CallerAnswerKind>& aKind)
  {
    mHandler.Serve(
      { .mVerb = aVerb, .mHost = "cell.example", .mPath = aPath },
      [&aKind](const CallerAnswer& aAnswer) { aKind = aAnswer.mKind; });
  }

  void Submit(const std::string& aJob)
  {
    mHandler.Serve(Submission(aJob), [this](const CallerAnswer& aAnswer) {
      mAnswers.push_back(aAnswer);
    });
  }
};

} // namespace oriolevane::cellnode
