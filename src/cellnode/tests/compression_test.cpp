#include "cellnode/compression.h"

#include <random>

#include "cellnode/internal/peercodec.h"
#include "cellnode/recordcodec.h"
#include "cellnode/tests/testgroups.h"
#include "eventloop/framelink.h"

namespace oriolevane {

using testing::Section;
using namespace std::chrono_literals;
using namespace cellnode;

namespace {

// Payloads of jobs are letters from a to p.
std::string
Letters(std::size_t aCount, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += static_cast<char>('a' + random() % 16);
  }
  return text;
}

jobs::JobRecord
SampleJob(unsigned aSeed)
{
  jobs::JobRecord record;
  record.mId = jobs::JobId("job-" + std::to_string(aSeed));
  record.mSpec.mPayload = Letters(600, aSeed);
  record.mSpec.mSteps = { { .mTaskCount = 1 }, { .mTaskCount = 1 } };
  record.mAcceptedAt = 1700000000123ms;
  return record;
}

std::string
SampleFrame(unsigned aSeed)
{
  cellwire::WorkerCallBatchT batch;
  for (int i = 0; i < 20; ++i) {
    auto call = std::make_unique<cellwire::PollCallT>();
    call->worker = "worker-" + std::to_string(i);
    call->address = "10.1.0." + std::to_string(i) + ":8080";
    call->token = aSeed;
    batch.polls.push_back(std::move(call));
  }
  return EncodeFrame(std::move(batch));
}

} // namespace

static void
FrameTests(Section& aSection)
{
  aSection.It("are restored, and shrink once their texts have been sent", [] {
    FrameCompressor compressor;
    FrameDecompressor decompressor;
    std::size_t last = 0;
    for (unsigned seed = 1; seed < 20; ++seed) {
      const std::string frame = SampleFrame(seed);
      CPPUNIT_ASSERT(!IsCompressedFrame(frame));
      const auto compressed = compressor.Compress(frame);
      CPPUNIT_ASSERT(compressed.has_value());
      CPPUNIT_ASSERT(IsCompressedFrame(*compressed));
      const auto back = decompressor.Decompress(*compressed);
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(frame == *back);
      last = compressed->size();
    }
    CPPUNIT_ASSERT(last * 5 < SampleFrame(1).size());
  });
  aSection.It("are restored when they are empty or as large as allowed", [] {
    FrameCompressor compressor;
    FrameDecompressor decompressor;
    for (const std::size_t size : { std::size_t{ 0 },
                                    std::size_t{ 1 },
                                    std::size_t{ 131072 },
                                    std::size_t{ 300000 },
                                    eventloop::kMaxFramePayloadBytes }) {
      const std::string frame = Letters(size, 7);
      const auto compressed = compressor.Compress(frame);
      CPPUNIT_ASSERT(compressed.has_value());
      const auto back = decompressor.Decompress(*compressed);
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(frame == *back);
    }
  });
  // Guards against a peer that ends the process or exhausts its memory.
  aSection.It("are refused when they expand beyond the size of a frame", [] {
    FrameCompressor compressor;
    FrameDecompressor decompressor;
    const auto bomb = compressor.Compress(std::string(64U << 20U, 'x'));
    CPPUNIT_ASSERT(bomb.has_value());
    CPPUNIT_ASSERT(bomb->size() < 100000);
    CPPUNIT_ASSERT(absl::IsDataLoss(decompressor.Decompress(*bomb).status()));
  });
  aSection.It("are refused or decoded wrongly, but safely, when damaged", [] {
    for (std::size_t place = 1; place < 200; ++place) {
      FrameCompressor compressor;
      FrameDecompressor decompressor;
      std::string frame = compressor.Compress(SampleFrame(3)).value();
      char& damaged = frame[place % frame.size()];
      damaged = static_cast<char>(static_cast<unsigned char>(damaged) ^
                                  (1U << (place % 8)));
      if (const auto back = decompressor.Decompress(frame); back.ok()) {
        static_cast<void>(DecodeFrame(*back));
      }
      static_cast<void>(decompressor.Decompress(frame.substr(0, place)));
    }
    FrameDecompressor decompressor;
    for (const char* text : { "", "\x5d", "\x5dgarbage", "x" }) {
      if (const auto back = decompressor.Decompress(text); back.ok()) {
        CPPUNIT_ASSERT(!DecodeFrame(*back).ok());
      }
    }
  });
}

static void
RowTests(Section& aSection)
{
  aSection.It("are restored and decoded", [] {
    const std::string text = Encode(SampleJob(1));
    const std::string row = CompressRow(text);
    CPPUNIT_ASSERT(row.size() * 10 < text.size() * 7);
    CPPUNIT_ASSERT_EQUAL(text, DecompressRow(row).value());
    const auto record = DecodeJob(row);
    CPPUNIT_ASSERT(record.ok());
    CPPUNIT_ASSERT_EQUAL(text, Encode(*record));
  });
  // Guards against jobs that a newer build cannot read after an upgrade.
  aSection.It("of an older build are read as they are", [] {
    const std::string text = Encode(SampleJob(1));
    CPPUNIT_ASSERT_EQUAL(text, DecompressRow(text).value());
    CPPUNIT_ASSERT(DecodeJob(text).ok());
  });
  aSection.It("that do not shrink stay as they are", [] {
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), CompressRow("{}"));
    CPPUNIT_ASSERT_EQUAL(std::string(), CompressRow(""));
  });
  // Some bits of the data's header, such as the window size, do not affect the
  // value; the checksum covers the rest.
  aSection.It("are refused when damage changes their value", [] {
    const std::string text = Encode(SampleJob(1));
    const std::string row = CompressRow(text);
    for (std::size_t place = 0; place < row.size(); ++place) {
      std::string damaged = row;
      damaged[place] ^= 4;
      const auto record = DecodeJob(damaged);
      CPPUNIT_ASSERT(record.ok() ? Encode(*record) == text
                                 : absl::IsDataLoss(record.status()));
      CPPUNIT_ASSERT(
        absl::IsDataLoss(DecodeJob(row.substr(0, place)).status()));
    }
  });
  // Guards against a row that exhausts the memory of every owner in turn.
  aSection.It("are refused when they expand beyond the bound", [] {
    const std::string small = CompressRow(std::string(kMaxRowBytes, 'x'));
    CPPUNIT_ASSERT(small.size() < 100000);
    CPPUNIT_ASSERT_EQUAL(kMaxRowBytes, DecompressRow(small)->size());
    // The size that the row claims follows the marker of three bytes and the
    // five bytes that begin the compressed data.
    std::string bomb = small;
    bomb[11] = '\x7f';
    CPPUNIT_ASSERT(absl::IsDataLoss(DecompressRow(bomb).status()));
  });
}

void
CompressionTests(Section& aRoot)
{
  aRoot.Describe("compressed frames", FrameTests);
  aRoot.Describe("compressed rows", RowTests);
}

} // namespace oriolevane
