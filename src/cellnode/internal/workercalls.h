// Calls workers, with timeouts that adapt to the measured round trips.
#pragma once

#include <functional>
#include <memory>

#include "cellnode/timeoutestimator.h"
#include "cellnode/types/nodehooks.h"

namespace oriolevane::cellnode {

class WorkerCalls
{
public:
  using OrderReply = std::function<void(const jobs::OrderAnswer&)>;
  using PollReply =
    std::function<void(TimePoint aSentAt, const jobs::PollAnswer&)>;

  explicit WorkerCalls(const UpstreamHooks& aUpstreams);

  // The reply may be called after this object is destroyed.
  void Start(const jobs::StartOrder& aOrder, OrderReply aReply);
  void Stop(const jobs::StopOrder& aOrder, OrderReply aReply);
  void Poll(const jobs::PollOrder& aOrder, PollReply aReply);

private:
  // Shared with open calls, which may outlive this object.
  using SharedEstimator = std::shared_ptr<TimeoutEstimator>;

  OrderReply MeasureRoundTrip(Duration aTimeout, OrderReply aReply) const;

  const UpstreamHooks& mUpstreams;
  SharedEstimator mTimeoutEstimator;
};

} // namespace oriolevane::cellnode
