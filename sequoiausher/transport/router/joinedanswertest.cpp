#include "sequoiausher/transport/router/joinedanswer.h"

#include <doctest/doctest.h>

#include <string>

using namespace Sequoiausher;

namespace {

constexpr Millis now{1000};
const RequestId first{1, 1};
const RequestId second{2, 2};

/** Collects the answer; may stop reading after the first part. */
class Reader : public JoinedAnswerListener
{
public:
    void joinedHead(const AnswerHead &head) override
    {
        this->heads += 1;
        this->status = head.status;
    }

    void joinedPart(std::string_view bytes) override
    {
        this->text.append(bytes);
        if (this->leaves != nullptr) {
            this->leaves->leave();
        }
    }

    int heads = 0;
    std::uint32_t status = 0;
    std::string text;
    JoinedAnswer *leaves = nullptr;
};

struct Fixture
{
    Fixture()
    {
        this->table.start(now, first, std::nullopt, 0);
    }

    AnswerTable table{AnswerSettings{}};
    Reader reader;
    JoinedAnswer joined{table, reader};
    int wakes = 0;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "an answer is read from its first byte to its end, its head once")
{
    this->table.setHead(first, AnswerHead{200, "text/plain"});
    this->table.append(first, "one ");
    REQUIRE(this->joined.attach(first, [this] { ++this->wakes; }));
    CHECK(this->joined.pump() == AnswerState::Running);
    CHECK(this->reader.text == "one ");
    this->table.append(first, "two");
    CHECK(this->wakes == 1);
    this->table.finish(now, first, AnswerState::Complete, "");
    CHECK(this->joined.pump() == AnswerState::Complete);
    CHECK(this->reader.text == "one two");
    CHECK(this->reader.heads == 1);
    CHECK(this->reader.status == 200);
    CHECK(this->joined.isHeadTold());
    CHECK(!this->joined.isFollowing());
}

TEST_CASE_FIXTURE(Fixture, "an attempt that was given up before it ran can be followed by another one")
{
    REQUIRE(this->joined.attach(first, [] {}));
    this->table.finish(now, first, AnswerState::NotRun, "full");
    CHECK(this->joined.pump() == AnswerState::NotRun);
    CHECK(!this->joined.isHeadTold());
    this->table.start(now, second, std::nullopt, 0);
    this->table.setHead(second, AnswerHead{200, "text/plain"});
    REQUIRE(this->joined.attach(second, [] {}));
    CHECK(this->joined.pump() == AnswerState::Running);
    CHECK(this->reader.heads == 1);
}

TEST_CASE_FIXTURE(Fixture, "an answer that the table does not know is not followed")
{
    CHECK(!this->joined.attach(second, [] {}));
    CHECK(!this->joined.isFollowing());
    CHECK(this->joined.pump() == AnswerState::Running);
}

// Guards against reading freed memory, or keeping an answer for good, when a caller's connection breaks while a part is
// written to it, so that the reader leaves within joinedPart().
TEST_CASE_FIXTURE(Fixture, "a reader may leave while it is given a part")
{
    this->reader.leaves = &this->joined;
    this->table.append(first, "one");
    REQUIRE(this->joined.attach(first, [this] { ++this->wakes; }));
    CHECK(this->joined.pump() == AnswerState::Running);
    CHECK(!this->joined.isFollowing());
    this->table.append(first, "two");
    CHECK(this->wakes == 0);
    CHECK(this->joined.pump() == AnswerState::Running);
    CHECK(this->reader.text == "one");
}
