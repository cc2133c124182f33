// Bounds on what is exchanged with a worker, so that no worker can make a node
// hold more than this.
#pragma once

#include <cstddef>

namespace oriolevane::workers {

// Longest identifier, in bytes.
constexpr std::size_t kMaxIdBytes = 256;
// Longest payload or answer of one task, in bytes before base64.
constexpr std::size_t kMaxAnswerBytes = 1024UL * 1024;
// Most answer bytes in one report. A worker that holds more still lists the
// further ended tasks as running, until earlier ones are forgotten.
constexpr std::size_t kMaxReportAnswerBytes = 2 * kMaxAnswerBytes;
// Longest body of a request or a response, in bytes.
constexpr std::size_t kMaxBodyBytes = 4 * kMaxAnswerBytes;
// Most tasks or orders in one message.
constexpr std::size_t kMaxTasks = 8192;

} // namespace oriolevane::workers
