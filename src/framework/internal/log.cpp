#include "framework/log.h"
#include "framework/logfilter.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>

#include <poll.h>
#include <unistd.h>

#include <fmt/chrono.h>

#include "framework/internal/logratelimiter.h"

namespace oriolevane {

namespace {

constexpr std::size_t kMaxValueBytes = 512;

// Below PIPE_BUF (4096 bytes on Linux), so that a write to a pipe never splits
// a line.
constexpr std::size_t kMaxLineBytes = 4000;

LogRateLimiter&
RateLimiter()
{
  static LogRateLimiter rateLimiter;
  return rateLimiter;
}

// Drops the line when standard output cannot take it at once, so that a slow
// reader never blocks the process.
void
WriteLine(const std::string& aLine)
{
  pollfd output{ .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
  const bool writable =
    poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
  if (!writable || write(STDOUT_FILENO, aLine.data(), aLine.size()) < 0) {
    RateLimiter().CountDropped();
  }
}

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };
std::string logContext;

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

bool
IsPlain(char aByte)
{
  return aByte > ' ' && aByte != '"' && aByte != '\\' && aByte != '=' &&
         aByte != 0x7f;
}

void
AppendEscaped(std::string& aLine, std::string_view aValue)
{
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aLine += '\\';
      aLine += byte;
    } else if (static_cast<unsigned char>(byte) < ' ' || byte == 0x7f) {
      aLine += fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    } else {
      aLine += byte;
    }
  }
}

void
AppendPair(std::string& aLine, std::string_view aKey, std::string_view aValue)
{
  const std::string_view value = aValue.substr(0, kMaxValueBytes);
  aLine += ' ';
  aLine += aKey;
  aLine += '=';
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    aLine += value;
    return;
  }
  aLine += '"';
  AppendEscaped(aLine, value);
  aLine += '"';
}

} // namespace

LogEvent::LogEvent(LogLevel aLevel, std::string_view aName)
  : mEnabled(IsLogged(aLevel))
{
  if (!mEnabled) {
    return;
  }
  std::uint64_t droppedBefore = 0;
  if (aLevel != LogLevel::Debug) {
    const auto admitted =
      RateLimiter().Admit(aName, std::chrono::steady_clock::now());
    mEnabled = admitted.has_value();
    droppedBefore = admitted.value_or(0);
  }
  if (!mEnabled) {
    return;
  }
  const auto now = std::chrono::floor<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  mLine = fmt::format("ts={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={}{}",
                      fmt::gmtime(now),
                      millis,
                      LevelName(aLevel),
                      logContext);
  AppendPair(mLine, "event", aName);
  if (droppedBefore > 0) {
    AppendPair(mLine, "dropped_before", fmt::format("{}", droppedBefore));
  }
}

LogEvent::~LogEvent()
{
  if (!mEnabled) {
    return;
  }
  mLine.resize(std::min(mLine.size(), kMaxLineBytes));
  mLine += '\n';
  WriteLine(mLine);
}

void
LogEvent::Append(std::string_view aKey, std::string_view aValue)
{
  AppendPair(mLine, aKey, aValue);
}

bool
IsLogged(LogLevel aLevel)
{
  return aLevel >= minimumLevel.load(std::memory_order_relaxed);
}

std::uint64_t
DroppedLogLines()
{
  return RateLimiter().Dropped();
}

void
SetLogLevel(LogLevel aLevel)
{
  minimumLevel.store(aLevel, std::memory_order_relaxed);
}

void
SetLogContext(std::string_view aKey, std::string_view aValue)
{
  AppendPair(logContext, aKey, aValue);
}

} // namespace oriolevane
