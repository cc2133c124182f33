// Structured logging: each event is one line of key=value pairs on standard
// output. Events above the debug level are rate limited by name, and the next
// line of the same name reports how many lines the limit dropped, as
// dropped_before. A line that would block on standard output is dropped too;
// DroppedLogLines() counts both.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace oriolevane {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

// Builds the line of one event and writes it on destruction. The pairs keep the
// order in which they were added. Values that are empty or contain spaces,
// quotes, backslashes, equals signs or control characters are quoted and
// escaped, and long values are truncated, so that untrusted text cannot break
// the line format.
class LogEvent
{
public:
  LogEvent(LogLevel aLevel, std::string_view aName);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  // Adds a pair to the line. The value is formatted with fmt.
  template<typename Value>
  LogEvent& With(std::string_view aKey, const Value& aValue)
  {
    if (mEnabled) {
      Append(aKey, fmt::format("{}", aValue));
    }
    return *this;
  }

private:
  void Append(std::string_view aKey, std::string_view aValue);

  // False when the event is below the log level or over its rate limit.
  bool mEnabled;
  std::string mLine;
};

// Sets the minimum level of the events that this process logs. The default is
// Info.
void
SetLogLevel(LogLevel aLevel);

// Adds a pair that is written on every line, e.g. the node's name. Must be
// called before threads start, as the pairs are read without a lock.
void
SetLogContext(std::string_view aKey, std::string_view aValue);

// Returns the number of lines dropped since the process started.
std::uint64_t
DroppedLogLines();

inline LogEvent
LogInfo(std::string_view aName)
{
  return { LogLevel::Info, aName };
}

inline LogEvent
LogWarning(std::string_view aName)
{
  return { LogLevel::Warning, aName };
}

inline LogEvent
LogError(std::string_view aName)
{
  return { LogLevel::Error, aName };
}

inline LogEvent
LogDebug(std::string_view aName)
{
  return { LogLevel::Debug, aName };
}

} // namespace oriolevane
