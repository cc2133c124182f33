// Compresses frames between nodes and the values of stored rows with zstd, for
// hosts whose link is thin.
//
// The frames of one direction of a link share a compression context, because
// worker ids, addresses and job ids repeat from frame to frame. Rows are read
// one by one, so each is compressed alone, with a dictionary of the texts that
// rows have in common.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

struct ZSTD_CCtx_s;
struct ZSTD_DCtx_s;

namespace oriolevane::cellnode {

// The largest size of a decompressed row. A damaged row that claims to be
// larger is refused before memory is allocated for it.
constexpr std::size_t kMaxRowBytes = std::size_t{ 16 } << 20U;

// True for a frame of FrameCompressor. The first byte of an uncompressed frame
// belongs to an offset that is a multiple of four, and therefore differs.
bool
IsCompressedFrame(std::string_view aFrame);

// Compresses the frames that are sent on one link. Every compressed frame must
// reach the receiver's FrameDecompressor, in order.
class FrameCompressor
{
public:
  FrameCompressor();

  // Returns nothing when the library reports an error. Frames must not be
  // compressed on this link from then on.
  std::optional<std::string> Compress(std::string_view aFrame);

private:
  struct Free
  {
    void operator()(ZSTD_CCtx_s* aContext) const;
  };

  std::unique_ptr<ZSTD_CCtx_s, Free> mContext;
};

// Decompresses the frames that are received on one link.
class FrameDecompressor
{
public:
  FrameDecompressor();

  // Returns DataLoss for a damaged frame, and for one that is larger than a
  // frame may be. The link is unusable after an error.
  absl::StatusOr<std::string> Decompress(std::string_view aFrame);

private:
  struct Free
  {
    void operator()(ZSTD_DCtx_s* aContext) const;
  };

  std::unique_ptr<ZSTD_DCtx_s, Free> mContext;
};

// Returns the value unchanged when compression does not make it smaller.
std::string
CompressRow(std::string aValue);
// Returns a value that CompressRow did not compress unchanged, and DataLoss for
// a damaged or oversized one.
absl::StatusOr<std::string>
DecompressRow(std::string_view aValue);

} // namespace oriolevane::cellnode
