#include "framework/log.h"
#include "jobs/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "job lifecycle", oriolevane::JobLifecycleTests },
      { "repeated jobs", oriolevane::RepeatedJobTests },
      { "job memory", oriolevane::JobMemoryTests },
      { "gang", oriolevane::GangTests },
      { "gangs of others", oriolevane::GangsOfOthersTests },
      { "takeover", oriolevane::OwnerTakeoverTests },
      { "final states", oriolevane::FinalStateTests },
      { "handover", oriolevane::HandoverTests },
      { "recovered policies", oriolevane::RecoveredPolicyTests },
      { "ended ownership", oriolevane::EndedOwnershipTests },
      { "crashing tasks", oriolevane::CrashingTaskTests },
      { "worker failures", oriolevane::WorkerFailureTests },
      { "capacity", oriolevane::CapacityTests },
      { "waiting tasks", oriolevane::WaitingTaskTests },
      { "malformed reports", oriolevane::MalformedReportTests },
      { "advice", oriolevane::AdviceTests },
      { "lost queries", oriolevane::LostQueryTests },
      { "record write queue", oriolevane::RecordWriteQueueTests },
      { "relative run time", oriolevane::RelativeRunTimeTests },
      { "speed preference", oriolevane::SpeedPreferenceTests },
      { "quota", oriolevane::QuotaTests },
      { "load", oriolevane::LoadTests },
      { "random trouble", oriolevane::RandomFaultTests } });
}
