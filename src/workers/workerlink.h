// The link to the upstream workers: one HTTP exchange at a time with each, many
// workers side by side. Nothing else in the project knows the workers' wire
// format.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "protocol/types/workermessages.h"
#include "workers/types/workerlinkhooks.h"
#include "workers/types/workerlinkoptions.h"

namespace oriolevane::workers {

// Path below a worker's address that commands are posted to.
constexpr const char* kExchangePath = "/v1/exchange";

// Starts its threads when made; when destroyed it cuts the exchanges under way
// and ends them.
class WorkerLink
{
public:
  WorkerLink(WorkerLinkOptions aOptions, WorkerLinkHooks aHooks);
  ~WorkerLink();

  // Queues the command and returns at once. A command that still waits for the
  // same worker is replaced, as each repeats all outstanding orders. False,
  // and nothing kept, when there are too many workers.
  bool Send(const std::string& aAddress, protocol::WorkerCommand aCommand);

  // Drops what is kept for a worker that is gone: its queued command and its
  // connection.
  void Forget(const WorkerId& aWorker);

  // Workers that something is kept for.
  std::size_t WorkerCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace oriolevane::workers
