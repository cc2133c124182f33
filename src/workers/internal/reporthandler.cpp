#include "workers/reporthandler.h"

#include <utility>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

#include "workers/internal/httpbody.h"
#include "workers/workerjson.h"

namespace oriolevane::workers {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void
Refuse(HTTPServerResponse& aResponse,
       HTTPResponse::HTTPStatus aStatus,
       const absl::Status& aFault)
{
  const std::string body =
    nlohmann::json{ { "error", std::string(aFault.message()) } }.dump();
  aResponse.setStatusAndReason(aStatus);
  aResponse.setContentType("application/json");
  // The rest of the body was not read, so the connection can't be used again.
  aResponse.setKeepAlive(false);
  aResponse.sendBuffer(body.data(), body.size());
}

} // namespace

ReportHandler::ReportHandler(OnReport aOnReport, std::size_t aMaxBodyBytes)
  : mOnReport(std::move(aOnReport))
  , mMaxBodyBytes(aMaxBodyBytes)
{
}

void
ReportHandler::handleRequest(HTTPServerRequest& aRequest,
                             HTTPServerResponse& aResponse)
{
  if (aRequest.getMethod() != Poco::Net::HTTPRequest::HTTP_POST) {
    return Refuse(aResponse,
                  HTTPResponse::HTTP_METHOD_NOT_ALLOWED,
                  absl::InvalidArgumentError("post a report"));
  }
  // Without a length the stream would end only with the connection.
  if (!aRequest.hasContentLength()) {
    return Refuse(aResponse,
                  HTTPResponse::HTTP_LENGTH_REQUIRED,
                  absl::InvalidArgumentError("no Content-Length"));
  }
  const absl::StatusOr<std::string> body = ReadHttpBody(
    aRequest.stream(), aRequest.getContentLength64(), mMaxBodyBytes);
  if (!body.ok()) {
    return Refuse(aResponse,
                  absl::IsResourceExhausted(body.status())
                    ? HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE
                    : HTTPResponse::HTTP_BAD_REQUEST,
                  body.status());
  }
  absl::StatusOr<protocol::WorkerReport> report = ParseWorkerReport(*body);
  if (!report.ok()) {
    return Refuse(aResponse, HTTPResponse::HTTP_BAD_REQUEST, report.status());
  }
  if (!mOnReport(*std::move(report))) {
    return Refuse(aResponse,
                  HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                  absl::UnavailableError("try again"));
  }
  aResponse.setStatusAndReason(HTTPResponse::HTTP_NO_CONTENT);
  aResponse.setContentLength(0);
  aResponse.send();
}

} // namespace oriolevane::workers
