#include "cellnode/internal/frametexts.h"

namespace oriolevane::cellnode {

namespace {

using flatbuffers::Offset;
using flatbuffers::Vector;

std::size_t
Bytes(const flatbuffers::String* aText)
{
  return aText == nullptr ? 0 : aText->size();
}

std::size_t
Bytes(const cellwire::Ticket* aTicket)
{
  return Bytes(aTicket->worker()) + Bytes(aTicket->text());
}

std::size_t
Bytes(const cellwire::JobPayload* aPayload)
{
  return Bytes(aPayload->job()) + Bytes(aPayload->text());
}

std::size_t
Bytes(const cellwire::StartCall* aCall)
{
  return Bytes(aCall->worker()) + Bytes(aCall->address()) +
         Bytes(aCall->task()) + Bytes(aCall->checkpoint()) +
         Bytes(aCall->ticket());
}

std::size_t
Bytes(const cellwire::StopCall* aCall)
{
  return Bytes(aCall->worker()) + Bytes(aCall->address()) +
         Bytes(aCall->task());
}

std::size_t
Bytes(const cellwire::PollCall* aCall)
{
  return Bytes(aCall->worker()) + Bytes(aCall->address());
}

std::size_t
Bytes(const cellwire::RunningEntry* aEntry)
{
  return Bytes(aEntry->task()) + Bytes(aEntry->checkpoint());
}

std::size_t
Bytes(const cellwire::EndedEntry* aEntry)
{
  return Bytes(aEntry->task()) + Bytes(aEntry->checkpoint());
}

std::size_t
Bytes(const cellwire::PollReply* aReply);

template<typename Entry>
std::size_t
ListBytes(const Vector<Offset<Entry>>* aList)
{
  std::size_t bytes = 0;
  for (flatbuffers::uoffset_t i = 0; aList != nullptr && i < aList->size();
       ++i) {
    bytes += Bytes(aList->Get(i));
  }
  return bytes;
}

std::size_t
Bytes(const cellwire::PollReply* aReply)
{
  return ListBytes(aReply->running()) + ListBytes(aReply->ended());
}

std::size_t
Bytes(const cellwire::WorkerCallBatch* aBatch)
{
  return ListBytes(aBatch->payloads()) + ListBytes(aBatch->starts()) +
         ListBytes(aBatch->stops()) + ListBytes(aBatch->polls());
}

} // namespace

std::size_t
UnpackedTextBytes(const cellwire::Message& aMessage)
{
  if (const auto* query = aMessage.body_as_AdviceQuery(); query != nullptr) {
    return ListBytes(query->workers());
  }
  if (const auto* answer = aMessage.body_as_AdviceAnswer(); answer != nullptr) {
    return ListBytes(answer->approved());
  }
  if (const auto* calls = aMessage.body_as_WorkerCallBatch();
      calls != nullptr) {
    return Bytes(calls);
  }
  if (const auto* answers = aMessage.body_as_WorkerAnswerBatch();
      answers != nullptr) {
    return ListBytes(answers->polls());
  }
  return 0;
}

} // namespace oriolevane::cellnode
