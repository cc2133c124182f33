#include "standins/worker/reportpusher.h"

#include <map>
#include <memory>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include "framework/log.h"

namespace oriolevane::standins {

namespace {

using Poco::Net::HTTPClientSession;

constexpr std::size_t kMostJobs = 4096;
constexpr std::size_t kMostSessions = 64;
constexpr long kTimeoutMicroseconds = 1000000;

using Sessions = std::map<std::string, std::unique_ptr<HTTPClientSession>>;

void
Post(Sessions& aSessions, const std::string& aUrl, const std::string& aBody)
{
  const Poco::URI url(aUrl);
  if (aSessions.size() > kMostSessions) {
    aSessions.clear();
  }
  std::unique_ptr<HTTPClientSession>& session = aSessions[url.getAuthority()];
  if (session == nullptr) {
    session = std::make_unique<HTTPClientSession>(url.getHost(), url.getPort());
    session->setKeepAlive(true);
    session->setTimeout(kTimeoutMicroseconds);
  }
  try {
    Poco::Net::HTTPRequest request(
      "POST", url.getPathAndQuery(), Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
    session->sendRequest(request) << aBody << std::flush;
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream nowhere;
    Poco::StreamCopier::copyStream(session->receiveResponse(response), nowhere);
  } catch (const Poco::Exception&) {
    session.reset();
    throw;
  }
}

} // namespace

ReportPusher::ReportPusher(std::size_t aThreads)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { Run(); });
  }
}

ReportPusher::~ReportPusher()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
ReportPusher::Push(std::string aUrl, std::string aBody, TimePoint aDue)
{
  {
    const std::lock_guard lock(mMutex);
    if (mJobs.size() >= kMostJobs) {
      return;
    }
    mJobs.emplace(aDue,
                  Job{ .mUrl = std::move(aUrl), .mBody = std::move(aBody) });
  }
  mChanged.notify_one();
}

void
ReportPusher::Run()
{
  Sessions sessions;
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    if (mJobs.empty()) {
      mChanged.wait(lock);
      continue;
    }
    const TimePoint due = mJobs.begin()->first;
    if (due > std::chrono::steady_clock::now()) {
      mChanged.wait_until(lock, due);
      continue;
    }
    const Job job = std::move(mJobs.begin()->second);
    mJobs.erase(mJobs.begin());
    lock.unlock();
    try {
      Post(sessions, job.mUrl, job.mBody);
    } catch (const Poco::Exception& fault) {
      LogDebug("push_failed")
        .With("url", job.mUrl)
        .With("reason", fault.displayText());
    }
    lock.lock();
  }
}

} // namespace oriolevane::standins
