#include "teams/quotaledger.h"

namespace oriolevane::teams {

void
QuotaLedger::Configure(const std::vector<TeamPolicy>& aTeams)
{
  for (auto& [team, account] : mAccounts) {
    account.mQuota = {};
  }
  for (const TeamPolicy& team : aTeams) {
    mAccounts[team.mName].mQuota = team.mQuota;
  }
  std::erase_if(mAccounts, [](const auto& aEntry) {
    return aEntry.second.IsIdle() && aEntry.second.mQuota == Resources();
  });
}

void
QuotaLedger::Add(const TeamId& aTeam, const Resources& aTask)
{
  if (aTeam.Empty()) {
    return;
  }
  Account& account = mAccounts[aTeam];
  account.mUsage += aTask;
  ++account.mRuns;
}

void
QuotaLedger::Remove(const TeamId& aTeam, const Resources& aTask)
{
  const auto found = mAccounts.find(aTeam);
  if (found == mAccounts.end()) {
    return;
  }
  found->second.mUsage -= aTask;
  --found->second.mRuns;
}

void
QuotaLedger::SetPresumed(const TeamId& aTeam, const Resources& aUsage)
{
  if (!aTeam.Empty()) {
    mAccounts[aTeam].mPresumed = aUsage;
  }
}

void
QuotaLedger::ClearPresumed()
{
  for (auto& [team, account] : mAccounts) {
    account.mPresumed = {};
  }
}

bool
QuotaLedger::IsWithin(const Resources& aAmounts,
                      const Resources& aQuota,
                      double aExcess)
{
  const auto within = [aExcess](std::int64_t aAmount, std::int64_t aLimit) {
    return aLimit == 0 || static_cast<double>(aAmount) <=
                            static_cast<double>(aLimit) * (1 + aExcess);
  };
  return within(aAmounts.mMilliCores, aQuota.mMilliCores) &&
         within(aAmounts.mMemoryMiB, aQuota.mMemoryMiB) &&
         within(aAmounts.mAccelerators, aQuota.mAccelerators);
}

const QuotaLedger::Account*
QuotaLedger::Find(const TeamId& aTeam) const
{
  const auto found = mAccounts.find(aTeam);
  return found == mAccounts.end() ? nullptr : &found->second;
}

bool
QuotaLedger::Allows(const TeamId& aTeam, const Resources& aTask) const
{
  const Account* account = Find(aTeam);
  if (account == nullptr || account->IsIdle()) {
    return true;
  }
  return IsWithin(
    account->mUsage + account->mPresumed + aTask, account->mQuota, 0);
}

bool
QuotaLedger::AllowsGang(const TeamId& aTeam,
                        const Resources& aTask,
                        int aMembers) const
{
  const Account* account = Find(aTeam);
  if (account == nullptr) {
    return true;
  }
  if (account->IsIdle()) {
    return CanEverFit(aTeam, aTask, aMembers);
  }
  return IsWithin(account->mUsage + account->mPresumed + Times(aTask, aMembers),
                  account->mQuota,
                  mOptions.mExcess);
}

bool
QuotaLedger::CanEverFit(const TeamId& aTeam,
                        const Resources& aTask,
                        int aMembers) const
{
  const Account* account = Find(aTeam);
  return account == nullptr || IsWithin(Times(aTask, aMembers - 1),
                                        account->mQuota,
                                        mOptions.mExcess);
}

Resources
QuotaLedger::UsageOf(const TeamId& aTeam) const
{
  const Account* account = Find(aTeam);
  return account == nullptr ? Resources() : account->mUsage;
}

std::int64_t
QuotaLedger::RunsOf(const TeamId& aTeam) const
{
  const Account* account = Find(aTeam);
  return account == nullptr ? 0 : account->mRuns;
}

Resources
QuotaLedger::PresumedOf(const TeamId& aTeam) const
{
  const Account* account = Find(aTeam);
  return account == nullptr ? Resources() : account->mPresumed;
}

Resources
QuotaLedger::QuotaOf(const TeamId& aTeam) const
{
  const Account* account = Find(aTeam);
  return account == nullptr ? Resources() : account->mQuota;
}

} // namespace oriolevane::teams
