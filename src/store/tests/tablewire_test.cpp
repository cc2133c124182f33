#include "store/tablewire.h"

#include <random>

#include "store/tests/stories.h"

namespace oriolevane::store {

using testing::Section;

namespace {

const Transaction kTransaction{
  .mConditions = { { "a", 0 }, { "b", 18446744073709551615ULL } },
  .mMutations = { { "a", std::string("\0\xff", 2) }, { "b", std::nullopt } }
};

void
TryAllDecoders(const std::string& aJson)
{
  static_cast<void>(DecodeTransaction(aJson).ok());
  static_cast<void>(DecodeCommitResult(aJson).ok());
  static_cast<void>(DecodeRows(aJson).ok());
  static_cast<void>(DecodeHosts(aJson).ok());
}

} // namespace

void
TableWireStory(Section& aStory)
{
  aStory.It("refuses a key that is not UTF-8", [] {
    const auto encoded =
      EncodeTransaction({ .mMutations = { { "a\xff", "1" } } });
    CPPUNIT_ASSERT(absl::IsInvalidArgument(encoded.status()));
  });
  aStory.It("carries any bytes and versions", [] {
    CPPUNIT_ASSERT(*DecodeTransaction(*EncodeTransaction(kTransaction)) ==
                   kTransaction);
  });
  aStory.It(
    "reads a file of workers with comments, and leaving is optional", [] {
      const auto hosts = DecodeHosts(R"(// workers
                [{"worker": "w1", "zone": "kef", "rack": "r1",
                  "address": "127.0.0.1:1", "capacity": {"slots": 8}}])");
      CPPUNIT_ASSERT(hosts.ok());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, hosts->front().mCapacity.mSlots);
      CPPUNIT_ASSERT(!hosts->front().mLeaving);
    });
  aStory.It("refuses wrong types, missing fields and negative amounts", [] {
    for (const char* json :
         { "",
           "[1]",
           R"([{"worker": "w1"}])",
           R"([{"worker": 1, "zone": "", "rack": "", "address": "",
                "capacity": {}}])",
           R"([{"worker": "w", "zone": "", "rack": "", "address": "",
                "capacity": {"slots": -1}}])",
           R"([{"worker": "w", "zone": "", "rack": "", "address": "",
                "capacity": {}, "leaving": "yes"}])" }) {
      CPPUNIT_ASSERT(absl::IsDataLoss(DecodeHosts(json).status()));
    }
    CPPUNIT_ASSERT(!DecodeRows(R"({"rows": [{"key": "a", "value": "%",
                                             "version": 1}]})")
                      .ok());
  });
  aStory.It("stands any damage without a crash", [] {
    std::mt19937_64 random(3);
    const std::string good = *EncodeTransaction(kTransaction);
    for (int round = 0; round < 3000; ++round) {
      std::string damaged = good.substr(0, random() % (good.size() + 1));
      for (std::uint64_t flips = random() % 4; flips > 0; --flips) {
        if (!damaged.empty()) {
          damaged[random() % damaged.size()] = static_cast<char>(random());
        }
      }
      TryAllDecoders(damaged);
    }
    TryAllDecoders(std::string(100'000, '['));
  });
}

} // namespace oriolevane::store
