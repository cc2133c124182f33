// The worker stand-in behind an HTTP server, for its program and for tests that
// run it within their own process.
//
// Data: POST /w/<worker>/v1/exchange.
//
// Control:
//   POST /control/faults?worker=ID|*&silent=true&failEverything=true
//     &refuseStarts=true&leaving=true&frozen=true&answerDelayMs=N
//     &reportDelayMs=N (those not named stay as they are)
//   POST /control/restart?worker=ID|*  comes back as another incarnation
//   GET  /control/history?from=N, GET /control/state
#pragma once

#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>
#include <absl/status/statusor.h>

#include "standins/worker/workerfleet.h"

namespace oriolevane::standins {

class WorkerServer
{
public:
  // aListen: IP and port; port 0 takes a free one. Unavailable when it can't be
  // listened on.
  static absl::StatusOr<std::unique_ptr<WorkerServer>> Start(
    const std::string& aListen,
    WorkerFleetOptions aOptions);
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;
  ~WorkerServer();

  // IP and port it listens on.
  std::string Address() const;
  // What a node is given as the worker's address.
  std::string WorkerAddress(const WorkerId& aWorker) const;
  WorkerFleet& Fleet() { return mFleet; }

private:
  explicit WorkerServer(WorkerFleetOptions aOptions);

  std::string mAddress;
  WorkerFleet mFleet;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

} // namespace oriolevane::standins
