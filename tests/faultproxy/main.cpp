// The fault-injecting TCP proxy as a program. Ends on SIGTERM or SIGINT.
#include <csignal>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <gflags/gflags.h>

#include "faultproxy/controlhandler.h"
#include "faultproxy/proxyloop.h"
#include "framework/log.h"

DEFINE_string(links,
              "",
              "links as NAME=LISTEN>TARGET, separated by commas, each an IP "
              "and port");
DEFINE_string(control, "127.0.0.1:0", "IP and port of the control requests");
DEFINE_uint64(seed, 1, "seed of the jitter");

namespace oriolevane::faultproxy {

namespace {

std::optional<std::vector<LinkSpec>>
ParseLinks(const std::string& aText)
{
  std::vector<LinkSpec> links;
  std::istringstream stream(aText);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const std::size_t equals = item.find('=');
    const std::size_t arrow = item.find('>');
    if (equals == std::string::npos || arrow == std::string::npos ||
        arrow < equals) {
      return std::nullopt;
    }
    links.push_back({ .mName = item.substr(0, equals),
                      .mListen = item.substr(equals + 1, arrow - equals - 1),
                      .mTarget = item.substr(arrow + 1) });
  }
  return links;
}

int
RunProxy()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const std::optional<std::vector<LinkSpec>> links = ParseLinks(FLAGS_links);
  if (!links.has_value()) {
    LogError("bad_links").With("links", FLAGS_links);
    return 1;
  }
  try {
    ProxyLoop loop(*links, FLAGS_seed);
    const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress{ FLAGS_control });
    Poco::Net::HTTPServer server(
      new ControlHandlerFactory(loop), socket, new Poco::Net::HTTPServerParams);
    server.start();
    LogInfo("listening")
      .With("control", socket.address().toString())
      .With("state", loop.StateJson());
    int received = 0;
    sigwait(&signals, &received);
    server.stopAll(true);
    return 0;
  } catch (const Poco::Exception& fault) {
    LogError("listen_failed").With("reason", fault.displayText());
    return 1;
  }
}

} // namespace

} // namespace oriolevane::faultproxy

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return oriolevane::faultproxy::RunProxy();
}
