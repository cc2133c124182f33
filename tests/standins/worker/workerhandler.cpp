#include "standins/worker/workerhandler.h"

#include <cstdlib>
#include <iterator>
#include <map>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include "workers/workerlink.h"

namespace oriolevane::standins {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Query = std::map<std::string, std::string>;

constexpr std::string_view kWorkerPrefix = "/w/";

void
Answer(HTTPServerResponse& aResponse,
       HTTPResponse::HTTPStatus aStatus,
       const std::string& aBody)
{
  aResponse.setStatusAndReason(aStatus);
  aResponse.setContentType("application/json");
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

void
ApplyFaults(const Query& aQuery, WorkerFaults& aFaults)
{
  const auto flag = [&aQuery](const char* aKey, bool& aFlag) {
    if (const auto found = aQuery.find(aKey); found != aQuery.end()) {
      aFlag = found->second == "true";
    }
  };
  const auto time = [&aQuery](const char* aKey,
                              std::chrono::milliseconds& aTime) {
    if (const auto found = aQuery.find(aKey); found != aQuery.end()) {
      aTime = std::chrono::milliseconds(
        std::strtoul(found->second.c_str(), nullptr, 10));
    }
  };
  flag("silent", aFaults.mSilent);
  flag("failEverything", aFaults.mBehaviour.mFailEverything);
  flag("refuseStarts", aFaults.mBehaviour.mRefuseStarts);
  flag("leaving", aFaults.mBehaviour.mLeaving);
  flag("frozen", aFaults.mBehaviour.mFrozen);
  time("answerDelayMs", aFaults.mAnswerDelay);
  time("reportDelayMs", aFaults.mReportDelay);
}

class WorkerHandler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit WorkerHandler(WorkerFleet& aFleet)
    : mFleet(aFleet)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    // Without a length the stream would end only with the connection.
    const std::string body =
      aRequest.hasContentLength()
        ? std::string(std::istreambuf_iterator<char>(aRequest.stream()), {})
        : std::string();
    const Poco::URI uri(aRequest.getURI());
    const std::string& path = uri.getPath();
    if (path.starts_with(kWorkerPrefix)) {
      return Exchange(path, body, aResponse);
    }
    Query query;
    for (const auto& [key, value] : uri.getQueryParameters()) {
      query[key] = value;
    }
    Control(path, query, aResponse);
  }

private:
  void Exchange(const std::string& aPath,
                const std::string& aBody,
                HTTPServerResponse& aResponse)
  {
    const std::string rest = aPath.substr(kWorkerPrefix.size());
    const std::size_t slash = rest.find('/');
    const absl::StatusOr<workers::ExchangeRequest> request =
      workers::ParseExchangeRequest(aBody);
    if (!request.ok()) {
      return Answer(aResponse,
                    HTTPResponse::HTTP_BAD_REQUEST,
                    std::string(request.status().message()));
    }
    if (slash == std::string::npos ||
        rest.substr(slash) != workers::kExchangePath ||
        rest.substr(0, slash) != request->mCommand.mWorker.mValue) {
      return Answer(aResponse, HTTPResponse::HTTP_NOT_FOUND, "{}");
    }
    const std::optional<protocol::WorkerReport> report =
      mFleet.Exchange(request->mCommand.mWorker, *request);
    const absl::StatusOr<std::string> answer =
      report.has_value() ? workers::EncodeWorkerReport(*report)
                         : absl::NotFoundError("no such worker, or silent");
    if (!answer.ok()) {
      aResponse.setKeepAlive(false);
      return Answer(aResponse, HTTPResponse::HTTP_NOT_FOUND, "{}");
    }
    Answer(aResponse, HTTPResponse::HTTP_OK, *answer);
  }

  void Control(const std::string& aPath,
               Query& aQuery,
               HTTPServerResponse& aResponse)
  {
    const std::string worker = aQuery["worker"];
    if (aPath == "/control/history") {
      return Answer(aResponse,
                    HTTPResponse::HTTP_OK,
                    mFleet.History().ToJson(
                      std::strtoull(aQuery["from"].c_str(), nullptr, 10)));
    }
    if (aPath == "/control/state") {
      return Answer(aResponse, HTTPResponse::HTTP_OK, mFleet.StateJson());
    }
    bool done = false;
    if (aPath == "/control/faults") {
      done = mFleet.ChangeFaults(
        worker, [&](WorkerFaults& aFaults) { ApplyFaults(aQuery, aFaults); });
    } else if (aPath == "/control/restart") {
      done = mFleet.Restart(worker);
    }
    Answer(aResponse,
           done ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND,
           "{}");
  }

  WorkerFleet& mFleet;
};

} // namespace

Poco::Net::HTTPRequestHandler*
WorkerHandlerFactory::createRequestHandler(const HTTPServerRequest&)
{
  return new WorkerHandler(mFleet);
}

} // namespace oriolevane::standins
