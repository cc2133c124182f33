#include "store/httpplatform.h"

#include <Poco/Net/ServerSocket.h>

#include "platformstandin/stories.h"
#include "standins/platform/platformserver.h"

namespace oriolevane::standins {

using store::ConnectHttpPlatform;
using store::HttpPlatform;
using store::Transaction;
using testing::Section;

namespace {

struct Fixture
{
  explicit Fixture(
    std::chrono::milliseconds aTimeout = std::chrono::seconds(10))
    : mPlatform(*ConnectHttpPlatform(
        { .mAddress = mServer->Address(), .mRequestTimeout = aTimeout }))
  {
  }

  std::unique_ptr<PlatformServer> mServer =
    *PlatformServer::Start({ .mHosts = { { .mWorker = WorkerId("w1") } } });
  HttpPlatform mPlatform =
    *ConnectHttpPlatform({ .mAddress = mServer->Address(),
                           .mRequestTimeout = std::chrono::milliseconds(300) });

  auto Put(const std::string& aKey, const std::string& aValue)
  {
    return mPlatform.mTable.mCommit(
      Transaction{ .mMutations = { { aKey, aValue } } });
  }
};

std::string
AnyBytes()
{
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

void
Table(Section& aSection)
{
  aSection.It("keeps any bytes and tells the new version", [] {
    Fixture fixture;
    const auto result = fixture.Put("k/ü?&=1", AnyBytes());
    CPPUNIT_ASSERT(result.ok());
    const auto row = fixture.mPlatform.mTable.mRead("k/ü?&=1");
    CPPUNIT_ASSERT(row.ok());
    CPPUNIT_ASSERT(row->mValue == AnyBytes());
    CPPUNIT_ASSERT_EQUAL(row->mVersion, result->VersionOf("k/ü?&=1"));
    CPPUNIT_ASSERT(!fixture.mPlatform.mTable.mRead("absent")->Exists());
  });
  aSection.It("applies nothing when one condition fails", [] {
    Fixture fixture;
    const auto refused = fixture.mPlatform.mTable.mCommit(
      Transaction{ .mConditions = { { "a", 0 }, { "b", 7 } },
                   .mMutations = { { "a", "1" } } });
    CPPUNIT_ASSERT(absl::IsAborted(refused.status()));
    CPPUNIT_ASSERT(!fixture.mPlatform.mTable.mRead("a")->Exists());
  });
  aSection.It("scans a prefix page by page in key order", [] {
    Fixture fixture;
    for (const char* key : { "p/3", "p/1", "q/1", "p/2" }) {
      CPPUNIT_ASSERT(fixture.Put(key, key).ok());
    }
    const auto rows = store::ScanAll(fixture.mPlatform.mTable, "p/", 2, 100);
    CPPUNIT_ASSERT(rows.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, rows->size());
    CPPUNIT_ASSERT_EQUAL(std::string("p/3"), rows->back().mKey);
  });
}

void
Faults(Section& aSection)
{
  aSection.It("a refused connection is surely without effect", [] {
    Poco::Net::ServerSocket unused(Poco::Net::SocketAddress("127.0.0.1:0"));
    const std::string address = unused.address().toString();
    unused.close();
    const auto platform = ConnectHttpPlatform({ .mAddress = address });
    CPPUNIT_ASSERT(absl::IsUnavailable(platform->mTable.mCommit({}).status()));
  });
  aSection.It("a lost answer is reported as perhaps applied", [] {
    Fixture fixture;
    fixture.mServer->Service().Faults().LoseNextAnswers(1);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(fixture.Put("a", "1").status()));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         fixture.mPlatform.mTable.mRead("a")->mValue);
  });
  aSection.It("a refusing store is without effect, and works again later", [] {
    Fixture fixture;
    fixture.mServer->Service().Faults().SetOutage(Outage::Refuse);
    CPPUNIT_ASSERT(absl::IsUnavailable(fixture.Put("a", "1").status()));
    fixture.mServer->Service().Faults().SetOutage(Outage::None);
    CPPUNIT_ASSERT(fixture.Put("a", "2").ok());
  });
  aSection.It("a silent connection is dropped and a new one serves", [] {
    Fixture fixture(std::chrono::seconds(1));
    CPPUNIT_ASSERT(fixture.Put("a", "1").ok());
    fixture.mServer->Service().Faults().SetOutage(Outage::Hang);
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(fixture.Put("a", "2").status()));
    fixture.mServer->Service().Faults().SetOutage(Outage::None);
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         fixture.mPlatform.mTable.mRead("a")->mValue);
  });
}

void
ObjectsAndHosts(Section& aSection)
{
  aSection.It("keeps, gives and removes an object", [] {
    Fixture fixture;
    const auto& objects = fixture.mPlatform.mObjects;
    const std::string large(3UL * 1024 * 1024, '\x01');
    CPPUNIT_ASSERT(objects.mPut("s/1", large).ok());
    CPPUNIT_ASSERT(*objects.mFetch("s/1") == large);
    CPPUNIT_ASSERT(objects.mRemove("s/1").ok());
    CPPUNIT_ASSERT(absl::IsNotFound(objects.mFetch("s/1").status()));
  });
  aSection.It("shows a leaving worker only after the lag", [] {
    Fixture fixture;
    HostList& hosts = fixture.mServer->Service().Hosts();
    hosts.SetLag(std::chrono::hours(1));
    CPPUNIT_ASSERT(hosts.MarkLeaving(
      WorkerId("w1"), true, std::chrono::steady_clock::now()));
    CPPUNIT_ASSERT(!fixture.mPlatform.mHosts.mList()->front().mLeaving);
    hosts.SetLag(std::chrono::milliseconds(0));
    CPPUNIT_ASSERT(fixture.mPlatform.mHosts.mList()->front().mLeaving);
  });
}

} // namespace

void
HttpPlatformStory(Section& aStory)
{
  aStory.Describe("its table", Table);
  aStory.Describe("under faults", Faults);
  aStory.Describe("its objects and hosts", ObjectsAndHosts);
}

} // namespace oriolevane::standins
