// What a task of the worker stand-in does, read out of its payload.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/types/taskkey.h"

namespace oriolevane::standins {

// From a payload such as {"runMs": 200, "answer": "done", "fail": false,
// "answerBytes": 1000}; every field may be missing. Any other payload runs for
// 100 ms and is echoed.
struct TaskScript
{
  std::chrono::milliseconds mRunTime{ 100 };
  bool mFail = false;
  // The answer; with mAnswerBytes it is made up.
  std::string mAnswer;
  std::optional<std::size_t> mAnswerBytes;
  // False when the payload did not give a run time: a service then runs until
  // stopped.
  bool mRunTimeGiven = false;
};

TaskScript
ParseTaskScript(std::string_view aPayload);

// A made-up answer of exactly aBytes bytes that begins with the task's name, so
// that a caller can tell whether it got its own answer, whole.
std::string
MakeAnswer(const protocol::TaskKey& aTask, std::size_t aBytes);

} // namespace oriolevane::standins
