#include "cellnode/compression.h"

#include <utility>

#include <zstd.h>

#include "eventloop/framelink.h"

namespace oriolevane::cellnode {

namespace {

constexpr char kFrameMarker = '\x5d';
// The first byte never occurs in UTF-8, and so not in an uncompressed row. The
// last one is the version of the dictionary.
constexpr std::string_view kRowMarker = "\xf5Z\x01";
// Level 1 compresses the node's messages nearly as well as higher levels, at
// the least processor time; thin hosts also have little of that.
constexpr int kFrameLevel = 1;
constexpr int kRowLevel = 3;
// 128 KiB of recent frames. A larger window costs memory on every link.
constexpr int kWindowLog = 17;

// Texts that rows have in common, the most frequent ones last. Stored rows
// depend on it: a change needs a new version in kRowMarker, and the old text
// must stay readable.
constexpr std::string_view kRowDictionary =
  R"({"address":"10.0.0.1:8080","id":"worker-1","pool":"pool"})"
  R"({"finished_ms":1700000000000,"id":"","state":2,"team":"team"})"
  R"("long_running":true,"most_per_worker":1,"spare_processors":true,)"
  R"("tolerable_misses":1,"image":"","data_rack":"rack-","label":"",)"
  R"("rack_sensitive":true,"speculative":true,"tail_target_ms":1000,)"
  R"("repeat":[10,1700000000000,1000],"borrows":true,"team":"team-",)"
  R"("public":true,"checkpointing":true,"gang":true,)"
  R"({"finished":false,"job":"","occurrence":0,"steps":[[0,[],[)"
  R"([0,true,[],1,""],[1,true,[],1,""],[2,true,[],1,""],[3,true,[],1,""],)"
  R"([4,false,[],1,""],[5,false,[1],2,""]]],[1,[],[[0,true,[],1,""]]]]})"
  R"({"accepted_ms":1700000000000,"id":"","payload":"","queue":)"
  R"({"advice":[1000,100,1000],"attempts":3,"host":"","name":"",)"
  R"("pool":"","prefix":"/","priority":1,"stretch":2.0,"target_ms":1000},)"
  R"("steps":[{"count":1,"estimate_ms":1000,"resources":[1000,512,0]},)"
  R"({"after":[0],"count":4,"estimate_ms":200,"resources":[500,256,0]},)"
  R"({"after":[1],"count":8,"estimate_ms":100,"resources":[250,128,0]}]})";

struct FreeRowContext
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

absl::Status
Damaged(std::string_view aWhat)
{
  return absl::DataLossError("compressed data refused: " + std::string(aWhat));
}

// One context for each thread, since creating one costs more than compressing
// a row. The dictionary is loaded once.
ZSTD_CCtx*
RowCompressionContext()
{
  thread_local const std::unique_ptr<ZSTD_CCtx, FreeRowContext> context = [] {
    std::unique_ptr<ZSTD_CCtx, FreeRowContext> made(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(made.get(), ZSTD_c_compressionLevel, kRowLevel);
    ZSTD_CCtx_setParameter(made.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_loadDictionary(
      made.get(), kRowDictionary.data(), kRowDictionary.size());
    return made;
  }();
  return context.get();
}

ZSTD_DCtx*
RowDecompressionContext()
{
  thread_local const std::unique_ptr<ZSTD_DCtx, FreeRowContext> context = [] {
    std::unique_ptr<ZSTD_DCtx, FreeRowContext> made(ZSTD_createDCtx());
    ZSTD_DCtx_loadDictionary(
      made.get(), kRowDictionary.data(), kRowDictionary.size());
    return made;
  }();
  return context.get();
}

} // namespace

bool
IsCompressedFrame(std::string_view aFrame)
{
  return !aFrame.empty() && aFrame.front() == kFrameMarker;
}

void
FrameCompressor::Free::operator()(ZSTD_CCtx_s* aContext) const
{
  ZSTD_freeCCtx(aContext);
}

FrameCompressor::FrameCompressor()
  : mContext(ZSTD_createCCtx())
{
  ZSTD_CCtx_setParameter(mContext.get(), ZSTD_c_compressionLevel, kFrameLevel);
  ZSTD_CCtx_setParameter(mContext.get(), ZSTD_c_windowLog, kWindowLog);
}

std::optional<std::string>
FrameCompressor::Compress(std::string_view aFrame)
{
  std::string result(1, kFrameMarker);
  ZSTD_inBuffer input{ aFrame.data(), aFrame.size(), 0 };
  std::size_t remaining = 0;
  do {
    const std::size_t used = result.size();
    result.resize(used + ZSTD_compressBound(aFrame.size() - input.pos) +
                  remaining);
    ZSTD_outBuffer output{ result.data(), result.size(), used };
    remaining =
      ZSTD_compressStream2(mContext.get(), &output, &input, ZSTD_e_flush);
    if (ZSTD_isError(remaining) != 0U) {
      return std::nullopt;
    }
    result.resize(output.pos);
  } while (remaining != 0 || input.pos < input.size);
  return result;
}

void
FrameDecompressor::Free::operator()(ZSTD_DCtx_s* aContext) const
{
  ZSTD_freeDCtx(aContext);
}

FrameDecompressor::FrameDecompressor()
  : mContext(ZSTD_createDCtx())
{
  // A peer cannot make this node allocate a larger window.
  ZSTD_DCtx_setParameter(mContext.get(), ZSTD_d_windowLogMax, kWindowLog);
}

absl::StatusOr<std::string>
FrameDecompressor::Decompress(std::string_view aFrame)
{
  if (!IsCompressedFrame(aFrame)) {
    return Damaged("no marker");
  }
  aFrame.remove_prefix(1);
  std::string result;
  ZSTD_inBuffer input{ aFrame.data(), aFrame.size(), 0 };
  ZSTD_outBuffer output{ nullptr, 0, 0 };
  // Output that fills the buffer may have left more within the context.
  do {
    if (result.size() > eventloop::kMaxFramePayloadBytes) {
      return Damaged("larger than a frame may be");
    }
    const std::size_t used = result.size();
    result.resize(used + ZSTD_DStreamOutSize());
    output = { result.data(), result.size(), used };
    const std::size_t hint =
      ZSTD_decompressStream(mContext.get(), &output, &input);
    if (ZSTD_isError(hint) != 0U) {
      return Damaged(ZSTD_getErrorName(hint));
    }
    result.resize(output.pos);
    if (output.pos == used && input.pos < input.size && hint != 0) {
      return Damaged("no progress");
    }
  } while (input.pos < input.size || output.pos == output.size);
  if (result.size() > eventloop::kMaxFramePayloadBytes) {
    return Damaged("larger than a frame may be");
  }
  return result;
}

std::string
CompressRow(std::string aValue)
{
  std::string result(kRowMarker);
  result.resize(kRowMarker.size() + ZSTD_compressBound(aValue.size()));
  const std::size_t size = ZSTD_compress2(RowCompressionContext(),
                                          result.data() + kRowMarker.size(),
                                          result.size() - kRowMarker.size(),
                                          aValue.data(),
                                          aValue.size());
  if (ZSTD_isError(size) != 0U || aValue.size() > kMaxRowBytes ||
      kRowMarker.size() + size >= aValue.size()) {
    return aValue;
  }
  result.resize(kRowMarker.size() + size);
  return result;
}

absl::StatusOr<std::string>
DecompressRow(std::string_view aValue)
{
  if (aValue.substr(0, 1) != kRowMarker.substr(0, 1)) {
    return std::string(aValue);
  }
  if (aValue.substr(0, kRowMarker.size()) != kRowMarker) {
    return Damaged("unknown version of a row");
  }
  aValue.remove_prefix(kRowMarker.size());
  const unsigned long long claimed =
    ZSTD_getFrameContentSize(aValue.data(), aValue.size());
  if (claimed == ZSTD_CONTENTSIZE_ERROR ||
      claimed == ZSTD_CONTENTSIZE_UNKNOWN || claimed > kMaxRowBytes) {
    return Damaged("size of a row missing or too large");
  }
  std::string result(claimed, '\0');
  const std::size_t size = ZSTD_decompressDCtx(RowDecompressionContext(),
                                               result.data(),
                                               result.size(),
                                               aValue.data(),
                                               aValue.size());
  if (ZSTD_isError(size) != 0U) {
    return Damaged(ZSTD_getErrorName(size));
  }
  result.resize(size);
  return result;
}

} // namespace oriolevane::cellnode
