// Measures what the journal and membership ask of the store and what group
// commit adds to the start of a request, at the peak of 1,800 starts a second.
// Time is virtual, the store is in memory; prints name=value lines.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cell.h"
#include "framework/log.h"
#include "journal/groupcommit.h"

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_uint32(seconds, 20, "virtual seconds measured for each cell");

namespace oriolevane::bench {

namespace {

constexpr double kStartsPerSecond = 1'800;
constexpr double kNeverRepeatShare = 0.1;
constexpr std::size_t kAcceptedBytes = 300;
constexpr std::size_t kDispatchedBytes = 40;
constexpr std::size_t kFinishedBytes = 120;
constexpr std::chrono::milliseconds kRunTime{ 2'000 };
constexpr int kWarmUpMilliseconds = 90'000;

struct Waiting
{
  TimePoint mSubmitted;
  bool mNeverRepeat = false;
  bool mDispatching = false;
};

// Feeds starts into a cell and times how long each waits for its records.
class Load
{
public:
  explicit Load(const CellOptions& aOptions)
    : mCell(aOptions,
            [this](PartitionId aPartition, std::uint64_t aSequence) {
              OnCommitted(aPartition, aSequence);
            })
    , mRandom(FLAGS_seed)
  {
  }

  void Run(int aMilliseconds)
  {
    std::poisson_distribution<int> arrivals(kStartsPerSecond / 1000.0);
    for (int at = 0; at < aMilliseconds; ++at) {
      for (int start = arrivals(mRandom); start > 0; --start) {
        Submit();
      }
      FinishDue();
      mCell.Step();
    }
  }

  void ForgetMeasurements()
  {
    mDelays.clear();
    mRecords = 0;
  }
  std::vector<double> SortedDelays()
  {
    std::sort(mDelays.begin(), mDelays.end());
    return mDelays;
  }
  std::uint64_t Records() const { return mRecords; }
  Cell& Of() { return mCell; }

private:
  using Key = std::pair<PartitionId, std::uint64_t>;

  void Submit()
  {
    const PartitionId partition(
      static_cast<std::uint32_t>(mRandom() % mCell.Options().mPartitions));
    const bool neverRepeat =
      std::bernoulli_distribution(kNeverRepeatShare)(mRandom);
    Write(partition,
          kAcceptedBytes,
          { .mSubmitted = mCell.Now(), .mNeverRepeat = neverRepeat });
    mRunning.push({ mCell.Now() + kRunTime, partition });
  }

  void FinishDue()
  {
    while (!mRunning.empty() && mRunning.front().first <= mCell.Now()) {
      const PartitionId partition = mRunning.front().second;
      mRunning.pop();
      ++mRecords;
      mCell.Append(partition, std::string(kFinishedBytes, 'f'));
    }
  }

  void Write(PartitionId aPartition, std::size_t aBytes, Waiting aWaiting)
  {
    const std::uint64_t sequence =
      mCell.Append(aPartition, std::string(aBytes, 'r'));
    if (sequence != 0) {
      ++mRecords;
      mWaiting[{ aPartition, sequence }] = aWaiting;
    }
  }

  void OnCommitted(PartitionId aPartition, std::uint64_t aSequence)
  {
    const auto at = mWaiting.find({ aPartition, aSequence });
    if (at == mWaiting.end()) {
      return;
    }
    const Waiting waiting = at->second;
    mWaiting.erase(at);
    if (waiting.mNeverRepeat && !waiting.mDispatching) {
      Write(aPartition,
            kDispatchedBytes,
            { .mSubmitted = waiting.mSubmitted,
              .mNeverRepeat = true,
              .mDispatching = true });
      return;
    }
    const Duration delay =
      mCell.Now() + mCell.Options().mStoreLatency - waiting.mSubmitted;
    mDelays.push_back(std::chrono::duration<double, std::milli>(delay).count());
  }

  Cell mCell;
  std::mt19937_64 mRandom;
  std::map<Key, Waiting> mWaiting;
  std::queue<std::pair<TimePoint, PartitionId>> mRunning;
  std::vector<double> mDelays;
  std::uint64_t mRecords = 0;
};

void
Print(const std::string& aCell, const std::string& aName, double aValue)
{
  fmt::print("journal.{}.{}={:.1f}\n", aCell, aName, aValue);
}

void
PrintGaps(const std::string& aName, std::vector<Duration> aGaps)
{
  std::sort(aGaps.begin(), aGaps.end());
  const auto millis = [](Duration aGap) {
    return std::chrono::duration<double, std::milli>(aGap).count();
  };
  fmt::print("{}_partitions={}\n", aName, aGaps.size());
  if (!aGaps.empty()) {
    fmt::print("{}_p50_ms={:.0f}\n", aName, millis(aGaps[aGaps.size() / 2]));
    fmt::print("{}_most_ms={:.0f}\n", aName, millis(aGaps.back()));
  }
}

// How long partitions are without an owner when one node leaves as planned, and
// when one dies; and what reading the membership rows costs.
void
MeasureMembership(const CellOptions& aOptions)
{
  constexpr int kSettleMilliseconds = 60'000;
  const std::string name = fmt::format("membership.nodes_{}", aOptions.mNodes);
  Cell cell(aOptions, [](PartitionId, std::uint64_t) {});
  const auto run = [&cell](int aMilliseconds) {
    for (int at = 0; at < aMilliseconds; ++at) {
      cell.Step();
    }
  };
  run(kWarmUpMilliseconds);
  cell.TakeGaps();
  const std::uint64_t before = cell.RowsRead();
  run(kSettleMilliseconds);
  const double seconds = kSettleMilliseconds / 1000.0;
  fmt::print("{}.rows_read_per_second={:.0f}\n",
             name,
             static_cast<double>(cell.RowsRead() - before) / seconds);
  fmt::print("{}.bytes_of_one_read={}\n", name, cell.ViewBytes());
  cell.Leave(PartitionId(0));
  run(kSettleMilliseconds);
  PrintGaps(name + ".planned_stop_gap", cell.TakeGaps());
  cell.Kill(PartitionId(0));
  run(kSettleMilliseconds);
  PrintGaps(name + ".death_gap", cell.TakeGaps());
}

void
Measure(const CellOptions& aOptions)
{
  Load load(aOptions);
  load.Run(kWarmUpMilliseconds);
  load.ForgetMeasurements();
  const CellWrites before = load.Of().Writes();
  load.Run(static_cast<int>(FLAGS_seconds) * 1000);
  const CellWrites& after = load.Of().Writes();
  const auto rate = [](std::uint64_t aBefore, std::uint64_t aAfter) {
    return static_cast<double>(aAfter - aBefore) / FLAGS_seconds;
  };
  const std::string cell = fmt::format(
    "nodes_{}.partitions_{}", aOptions.mNodes, aOptions.mPartitions);
  const double transactions =
    rate(before.mJournalTransactions, after.mJournalTransactions);
  const double rows = rate(before.mLogRows, after.mLogRows);
  const double deleted = rate(before.mDeletedRows, after.mDeletedRows);
  const double other = rate(before.mOtherRows, after.mOtherRows);
  Print(
    cell, "owned_partitions", static_cast<double>(load.Of().OwnedPartitions()));
  Print(cell, "records_per_second", rate(0, load.Records()));
  Print(cell, "transactions_per_second", transactions);
  Print(cell, "log_rows_per_second", rows);
  Print(cell, "deleted_rows_per_second", deleted);
  Print(cell, "other_rows_per_second", other);
  Print(cell, "all_writes_per_second", transactions + rows + deleted + other);
  const auto delays = load.SortedDelays();
  Print(cell, "delay_p50_ms", delays[delays.size() / 2]);
  Print(cell, "delay_p99_ms", delays[delays.size() * 99 / 100]);
  Print(cell,
        "bytes_per_record",
        rate(before.mLogBytes, after.mLogBytes) / rate(0, load.Records()));
}

// Processor time of the group commit core alone, one partition.
double
MicrosecondsPerRecord()
{
  constexpr std::uint64_t kRecords = 200'000;
  constexpr std::uint64_t kGroup = 100;
  journal::GroupCommit commit;
  commit.Open({ .mEpoch = Epoch(1) });
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t sequence = 1; sequence <= kRecords; ++sequence) {
    commit.Append(PartitionId(0),
                  { sequence, std::string(kAcceptedBytes, 'r') },
                  TimePoint{});
    if (sequence % kGroup == 0) {
      commit.Prepare();
      commit.OnCommitted();
    }
  }
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - start;
  return took.count() / kRecords;
}

void
MeasureCore()
{
  constexpr std::size_t kRuns = 5;
  std::vector<double> runs;
  runs.reserve(kRuns);
  for (std::size_t run = 0; run < kRuns; ++run) {
    runs.push_back(MicrosecondsPerRecord());
  }
  std::sort(runs.begin(), runs.end());
  fmt::print("journal.core.us_per_record_median={:.3f}\n", runs[kRuns / 2]);
  fmt::print("journal.core.us_per_record_least={:.3f}\n", runs.front());
  fmt::print("journal.core.us_per_record_most={:.3f}\n", runs.back());
}

} // namespace

} // namespace oriolevane::bench

int
main(int aCount, char** aArguments)
{
  using oriolevane::bench::Measure;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  for (const std::uint32_t nodes : { 8U, 16U, 60U }) {
    Measure({ .mNodes = nodes });
  }
  Measure({ .mNodes = 60, .mPartitions = 64, .mShards = 64 });
  for (const std::uint32_t nodes : { 8U, 16U, 60U }) {
    oriolevane::bench::MeasureMembership({ .mNodes = nodes });
  }
  oriolevane::bench::MeasureCore();
  return 0;
}
