// The request that a call is about.
#pragma once

#include "protocol/types/callermessages.h"

namespace oriolevane::node {

inline RequestId
RequestOf(const protocol::CallBody& aBody)
{
  if (const auto* submit = std::get_if<protocol::SubmitCall>(&aBody)) {
    return submit->mSpec.mId;
  }
  if (const auto* ask = std::get_if<protocol::StatusCall>(&aBody)) {
    return ask->mId;
  }
  return std::get<protocol::CancelCall>(aBody).mId;
}

} // namespace oriolevane::node
