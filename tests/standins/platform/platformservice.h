// The requests that the platform stand-in understands, apart from HTTP.
//
// Data: POST /table/commit, GET /table/scan?prefix&after&limit,
// GET /table/row?key, PUT|GET|DELETE /objects?name, GET /hosts.
//
// Control (never subject to faults):
//   POST /control/outage?mode=none|refuse|hang|late
//   POST /control/delay?ms=N
//   POST /control/lose?next=N and/or probability=P
//   POST /control/hosts/lag?ms=N
//   POST /control/hosts/put, body: a list of workers
//   POST /control/hosts/remove?worker=ID
//   POST /control/hosts/leaving?worker=ID&leaving=true|false
//   GET  /control/statistics, GET /control/dump?prefix=P
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/platform/faultplan.h"
#include "standins/platform/hostlist.h"
#include "standins/platform/objectstore.h"
#include "standins/platform/tablestore.h"

namespace oriolevane::standins {

struct ServiceRequest
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::string mBody;
};

struct ServiceAnswer
{
  int mStatus = 200;
  std::string mBody;
  // The connection is closed in place of an answer.
  bool mSilent = false;
};

// Thread-safe; a call may block while a fault asks for it.
class PlatformService
{
public:
  PlatformService(std::vector<store::HostEntry> aHosts, std::uint64_t aSeed);

  ServiceAnswer Handle(const ServiceRequest& aRequest);
  // Lets requests go that wait in a fault.
  void Stop() { mFaults.Stop(); }

  TableStore& Table() { return mTable; }
  FaultPlan& Faults() { return mFaults; }
  HostList& Hosts() { return mHosts; }

private:
  ServiceAnswer Serve(const ServiceRequest& aRequest);
  ServiceAnswer Commit(const ServiceRequest& aRequest);
  ServiceAnswer Scan(const ServiceRequest& aRequest);
  ServiceAnswer Object(const ServiceRequest& aRequest);
  ServiceAnswer Control(const ServiceRequest& aRequest);
  ServiceAnswer ControlFaults(const ServiceRequest& aRequest);
  ServiceAnswer ControlHosts(const ServiceRequest& aRequest);
  ServiceAnswer Statistics() const;
  ServiceAnswer Dump(const std::string& aPrefix) const;

  TableStore mTable;
  ObjectStore mObjects;
  HostList mHosts;
  FaultPlan mFaults;
};

} // namespace oriolevane::standins
