#include "framework/log.h"
#include "framework/logfilter.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>

namespace oriolevane {

namespace {

constexpr std::size_t kMaxValueBytes = 512;

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
  : mWritten(IsLogged(aLevel))
{
  if (!mWritten) {
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
}

LogEvent::~LogEvent()
{
  if (!mWritten) {
    return;
  }
  mLine += '\n';
  std::fwrite(mLine.data(), 1, mLine.size(), stdout);
  std::fflush(stdout);
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
