#include "cli/tests/fakecell.h"
#include "framework/testing/testgroup.h"

namespace oriolevane::cli {

using testing::Section;

namespace {

const std::string kRan = R"({"id":"r1","outcome":"ran","tasks":[]})";

FakeCell
CellWithRequest()
{
  FakeCell cell;
  cell.mFiles["f"] = R"({"team":"t","workload":"w"} // a comment)";
  return cell;
}

} // namespace

void
ApiClientStory(Section& aStory)
{
  aStory.It("goes to the next address when one refuses the connection", [] {
    FakeCell cell = CellWithRequest();
    cell.Fails(Delivery::NotSent).Answers(200, kRan);
    CPPUNIT_ASSERT_EQUAL(0, cell.Run({ "submit", "f" }));
    CPPUNIT_ASSERT_EQUAL(std::string("b:2"), cell.mSent.at(1).mAddress);
  });
  aStory.Describe("that submits, when its answer is lost", [](Section& aLost) {
    aLost.It("is never sent a second time without a key", [] {
      FakeCell cell = CellWithRequest();
      cell.Fails(Delivery::AnswerLost).Answers(200, kRan);
      CPPUNIT_ASSERT_EQUAL(4, cell.Run({ "submit", "f" }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cell.mSent.size());
    });
    aLost.It("is sent elsewhere under the same key", [] {
      FakeCell cell = CellWithRequest();
      cell.Fails(Delivery::AnswerLost).Answers(200, kRan);
      CPPUNIT_ASSERT_EQUAL(
        0, cell.Run({ .mWords = { "submit", "f" }, .mKey = "k" }));
      CPPUNIT_ASSERT_EQUAL(
        std::string("k"),
        cell.mSent.at(1).mCall.mHeaders.at("Idempotency-Key"));
    });
    aLost.It("stays not known yet when the next address is away", [] {
      FakeCell cell = CellWithRequest();
      cell.Fails(Delivery::AnswerLost).Fails(Delivery::NotSent);
      CPPUNIT_ASSERT_EQUAL(
        4, cell.Run({ .mWords = { "submit", "f" }, .mKey = "k" }));
    });
  });
  aStory.It("that reaches nobody is unreachable", [] {
    FakeCell cell;
    cell.Fails(Delivery::NotSent).Fails(Delivery::NotSent);
    CPPUNIT_ASSERT_EQUAL(7, cell.Run({ "nodes" }));
    FakeCell reading;
    reading.Fails(Delivery::AnswerLost).Fails(Delivery::AnswerLost);
    CPPUNIT_ASSERT_EQUAL(7, reading.Run({ "status", "r1" }));
  });
  aStory.It("that cancels and loses its answer is not known yet", [] {
    FakeCell cell;
    cell.Fails(Delivery::AnswerLost).Fails(Delivery::NotSent);
    CPPUNIT_ASSERT_EQUAL(4, cell.Run({ "cancel", "r1" }));
  });
  aStory.It("sends a patch under one id, also when none was given", [] {
    FakeCell cell;
    cell.mFiles["p"] = R"({ /* all */ "teams": { "lab": { "weight": 2 } } })";
    cell.Fails(Delivery::AnswerLost)
      .Answers(200, R"({"verdict":"accepted","version":4,"patch_id":"fresh"})");
    CPPUNIT_ASSERT_EQUAL(
      0, cell.Run({ .mWords = { "config", "apply", "p" }, .mBase = "3" }));
    for (const FakeCell::Sent& sent : cell.mSent) {
      CPPUNIT_ASSERT_EQUAL(std::string("fresh"),
                           sent.mCall.mHeaders.at("Idempotency-Key"));
      CPPUNIT_ASSERT_EQUAL(std::string("\"3\""),
                           sent.mCall.mHeaders.at("If-Match"));
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"teams":{"lab":{"weight":2}}})"),
                           sent.mCall.mBody);
    }
  });
}

} // namespace oriolevane::cli
