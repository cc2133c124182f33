#include "cellnode/internal/storeactivity.h"

#include <memory>
#include <utility>
#include <vector>

namespace oriolevane::cellnode {

namespace {

// Passes an answer on, after it has been noted. Errors show nothing, as a call
// can also fail without an answer.
template<typename Answer>
std::function<void(absl::StatusOr<Answer>)>
Noted(const std::shared_ptr<StoreActivity>& aActivity,
      std::function<void(absl::StatusOr<Answer>)> aDone)
{
  return [activity = aActivity,
          sentAt = BootClock::Now(),
          done = std::move(aDone)](absl::StatusOr<Answer> aAnswer) {
    if (aAnswer.ok()) {
      activity->NoteAnswer(sentAt);
    }
    done(std::move(aAnswer));
  };
}

} // namespace

StoreActivity::ListenerId
StoreActivity::AddListener(Listener aListener)
{
  mListeners.emplace(++mLastId, std::move(aListener));
  return mLastId;
}

void
StoreActivity::NoteAnswer(BootTimePoint aSentAt)
{
  std::vector<ListenerId> ids;
  for (const auto& [id, listener] : mListeners) {
    ids.push_back(id);
  }
  // A listener may remove itself or others.
  for (const ListenerId id : ids) {
    if (const auto found = mListeners.find(id); found != mListeners.end()) {
      const Listener listener = found->second;
      listener(aSentAt);
    }
  }
}

RowStoreHooks
WithActivity(RowStoreHooks aStore,
             const std::shared_ptr<StoreActivity>& aActivity)
{
  RowStoreHooks noted;
  noted.mActivity = aActivity;
  noted.mCommit = [inner = std::move(aStore.mCommit), activity = aActivity](
                    const RowTransaction& aTransaction,
                    Duration aTimeout,
                    std::function<void(absl::StatusOr<CommitAnswer>)> aDone) {
    inner(aTransaction, aTimeout, Noted(activity, std::move(aDone)));
  };
  noted.mRead = [inner = std::move(aStore.mRead), activity = aActivity](
                  const RowQuery& aQuery,
                  Duration aTimeout,
                  std::function<void(absl::StatusOr<RowPage>)> aDone) {
    inner(aQuery, aTimeout, Noted(activity, std::move(aDone)));
  };
  noted.mFeed = [inner = std::move(aStore.mFeed), activity = aActivity](
                  const FeedQuery& aQuery,
                  Duration aTimeout,
                  std::function<void(absl::StatusOr<RowPage>)> aDone) {
    inner(aQuery, aTimeout, Noted(activity, std::move(aDone)));
  };
  return noted;
}

} // namespace oriolevane::cellnode
