// Structured logs: each event is one line of key=value pairs on standard
// output. Lines of one kind are bounded in their rate, and a line that standard
// output does not take at once is dropped; the next line of the kind tells how
// many were, as dropped_before.
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

// One event. Pairs are appended in order; the line is written when the object
// goes out of scope. Values are quoted and escaped when they hold spaces,
// quotes or control characters, and cut at a length limit, so that text from
// outside cannot break a line.
class LogEvent
{
public:
  LogEvent(LogLevel aLevel, std::string_view aName);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  template<typename Value>
  LogEvent& With(std::string_view aKey, const Value& aValue)
  {
    if (mWritten) {
      Append(aKey, fmt::format("{}", aValue));
    }
    return *this;
  }

private:
  void Append(std::string_view aKey, std::string_view aValue);

  // False for events below the level that is logged.
  bool mWritten;
  std::string mLine;
};

// Events below this level are dropped. Process-wide.
void
SetLogLevel(LogLevel aLevel);

// A value of a set that is written for every line, e.g. the node's name. Set
// before threads start.
void
SetLogContext(std::string_view aKey, std::string_view aValue);

// Lines that were dropped since the start.
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
