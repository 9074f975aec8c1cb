#include "sequoiausher/coordination/answers/answersender.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

constexpr std::uint64_t handover = 5;
const InstanceId one{"r1"};
const InstanceId two{"r2"};
const AnswerHandoverSettings small{Millis{1000}, 1000, 10, 3, 2, 3, Millis{100}, 3};

/** Bodies by attempt. */
class Bodies : public AnswerBodySource
{
public:
    std::string bytesOf(const RequestId &attempt, std::uint64_t offset, std::size_t maxBytes) const override
    {
        const auto found = this->bodies.find(attempt);
        return found == this->bodies.end() || offset > found->second.size() ? std::string()
                                                                            : found->second.substr(offset, maxBytes);
    }

    KeptAnswer add(std::uint64_t number, const std::string &body)
    {
        const RequestId attempt{0, number};
        this->bodies[attempt] = body;
        return describe(attempt, {number, 1}, 7, {200, "text/plain"}, body);
    }

    std::map<RequestId, std::string> bodies;
};

std::vector<AnswerPage> pagesTo(const InstanceId &to, const Outbox &outbox)
{
    std::vector<AnswerPage> pages;
    for (const Outgoing &out : outbox) {
        if (out.to == to) {
            pages.push_back(std::get<AnswerPage>(out.message));
        }
    }
    return pages;
}

/** Acknowledges all pages until no more are sent. @return the pages. */
std::vector<AnswerPage> acknowledgeAll(AnswerSender &sender, Millis now, Outbox outbox)
{
    std::vector<AnswerPage> all;
    while (!outbox.empty()) {
        Outbox next;
        for (const Outgoing &out : outbox) {
            const auto &page = std::get<AnswerPage>(out.message);
            all.push_back(page);
            sender.receive(now, out.to, AnswerPageAck{page.handover, page.sequence}, next);
        }
        outbox = std::move(next);
    }
    return all;
}

} // namespace

TEST_CASE("answers are sent in the given order, in pages within the bounds")
{
    Bodies bodies;
    std::vector<KeptAnswer> answers;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        answers.push_back(bodies.add(i, std::string(4 * i, 'x')));
    }
    answers.push_back(bodies.add(6, ""));
    AnswerSender sender(small, handover, bodies);
    CHECK(sender.isDone());
    Outbox outbox;
    sender.begin(Millis{0}, answers, makeInstanceList({one}), outbox);
    CHECK(outbox.size() == small.pagesPerReceiver);
    CHECK(!sender.isDone());
    std::map<RequestId, std::string> got;
    std::vector<RequestId> order;
    for (const AnswerPage &page : acknowledgeAll(sender, Millis{10}, outbox)) {
        std::size_t bytes = 0;
        for (const AnswerFragment &fragment : page.fragments) {
            CHECK(fragment.offset == got[fragment.answer.attempt].size());
            got[fragment.answer.attempt] += fragment.bytes;
            bytes += fragment.bytes.size();
            if (order.empty() || order.back() != fragment.answer.attempt) {
                order.push_back(fragment.answer.attempt);
            }
        }
        CHECK(bytes <= small.pageBytes);
        CHECK(page.fragments.size() <= small.pageFragments);
        CHECK(page.handover == handover);
    }
    CHECK(got == bodies.bodies);
    CHECK(order == std::vector<RequestId>{{0, 1}, {0, 2}, {0, 3}, {0, 4}, {0, 5}, {0, 6}});
    CHECK(sender.isDone());
    CHECK(sender.count() == AnswerHandoverCount{6, 0});
}

TEST_CASE("each answer goes to the router with the highest rendezvous weight, and its age includes the time in flight")
{
    Bodies bodies;
    const InstanceList list = makeInstanceList({one, two, InstanceId{"r3"}});
    std::vector<KeptAnswer> answers;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        answers.push_back(bodies.add(i, "abc"));
        answers.back().age = Millis{50};
    }
    AnswerSender sender(small, handover, bodies);
    Outbox outbox;
    sender.begin(Millis{0}, answers, list, outbox);
    std::set<RequestId> seen;
    while (!outbox.empty()) {
        Outbox next;
        for (const Outgoing &out : outbox) {
            const auto &page = std::get<AnswerPage>(out.message);
            for (const AnswerFragment &fragment : page.fragments) {
                CHECK(out.to == list.selectInstances(fragment.answer.key, 1).front());
                CHECK(fragment.answer.age >= Millis{50});
                seen.insert(fragment.answer.attempt);
            }
            sender.receive(Millis{30}, out.to, AnswerPageAck{page.handover, page.sequence}, next);
            for (const Outgoing &more : next) {
                CHECK(std::get<AnswerPage>(more.message).fragments.front().answer.age == Millis{80});
            }
        }
        outbox = std::move(next);
    }
    CHECK(seen.size() == 20);
}

TEST_CASE("a hand-over without answers, receivers or time is done at once")
{
    Bodies bodies;
    Outbox outbox;
    AnswerSender nothing(small, handover, bodies);
    nothing.begin(Millis{0}, {}, makeInstanceList({one}), outbox);
    CHECK(nothing.isDone());
    AnswerSender toNobody(small, handover, bodies);
    toNobody.begin(Millis{0}, {bodies.add(1, "abc")}, makeInstanceList({}), outbox);
    CHECK(toNobody.isDone());
    CHECK(toNobody.count() == AnswerHandoverCount{0, 1});
    AnswerHandoverSettings never = small;
    never.timeLimit = Millis{0};
    AnswerSender inNoTime(never, handover, bodies);
    inNoTime.begin(Millis{0}, {bodies.add(1, "abc")}, makeInstanceList({one}), outbox);
    CHECK(inNoTime.isDone());
    CHECK(inNoTime.count() == AnswerHandoverCount{0, 1});
    CHECK(outbox.empty());
}

// Guards against answers that are missing after a planned stop; each subcase names its fault.
TEST_CASE("lost pages, acknowledgements, receivers and answers during a hand-over")
{
    Bodies bodies;
    const std::vector<KeptAnswer> answers{bodies.add(1, std::string(25, 'a')), bodies.add(2, "bb")};
    AnswerSender sender(small, handover, bodies);
    Outbox outbox;
    sender.begin(Millis{0}, answers, makeInstanceList({one}), outbox);
    const std::vector<AnswerPage> pages = pagesTo(one, outbox);
    REQUIRE(pages.size() == 2);
    outbox.clear();
    SUBCASE("a page is lost: the same page is sent again")
    {
        sender.receive(Millis{10}, one, AnswerPageAck{handover, pages[1].sequence}, outbox);
        const std::vector<AnswerPage> third = pagesTo(one, outbox);
        REQUIRE(third.size() == 1);
        outbox.clear();
        sender.tick(Millis{99}, outbox);
        CHECK(outbox.empty());
        sender.tick(Millis{100}, outbox);
        CHECK(pagesTo(one, outbox) == std::vector{pages[0]});
        sender.receive(Millis{101}, one, AnswerPageAck{handover, pages[0].sequence}, outbox);
        sender.receive(Millis{101}, one, AnswerPageAck{handover, third[0].sequence}, outbox);
        CHECK(sender.isDone());
        CHECK(sender.count() == AnswerHandoverCount{2, 0});
    }
    SUBCASE("acknowledgements that are duplicates, from another router or of another hand-over are ignored")
    {
        sender.receive(Millis{10}, two, AnswerPageAck{handover, pages[0].sequence}, outbox);
        sender.receive(Millis{10}, one, AnswerPageAck{handover + 1, pages[0].sequence}, outbox);
        sender.receive(Millis{10}, one, AnswerPageAck{handover, 999}, outbox);
        CHECK(outbox.empty());
        sender.receive(Millis{10}, one, AnswerPageAck{handover, pages[0].sequence}, outbox);
        CHECK(outbox.size() == 1);
        sender.receive(Millis{10}, one, AnswerPageAck{handover, pages[0].sequence}, outbox);
        CHECK(outbox.size() == 1);
        CHECK(sender.count().delivered == 0);
    }
    SUBCASE("the only receiver is lost: the hand-over ends and the answers are undelivered")
    {
        sender.removeReceiver(Millis{10}, one, outbox);
        CHECK(sender.isDone());
        CHECK(sender.count() == AnswerHandoverCount{0, 2});
    }
    SUBCASE("the receiver acknowledges nothing: it is removed after the last send of a page")
    {
        for (const std::int64_t at : {100, 200, 300}) {
            sender.tick(Millis{at}, outbox);
        }
        CHECK(outbox.size() == 2 * static_cast<std::size_t>(small.maxSendsPerPage - 1));
        CHECK(sender.isDone());
    }
    SUBCASE("the time limit ends the hand-over")
    {
        sender.tick(small.timeLimit, outbox);
        CHECK(outbox.empty());
        CHECK(sender.isDone());
        CHECK(sender.count() == AnswerHandoverCount{0, 2});
        sender.receive(small.timeLimit, one, AnswerPageAck{handover, pages[0].sequence}, outbox);
        CHECK(outbox.empty());
    }
    SUBCASE("the answer is no longer kept when its second half is due: it counts as undelivered")
    {
        bodies.bodies.erase(RequestId{0, 1});
        sender.receive(Millis{10}, one, AnswerPageAck{handover, pages[0].sequence}, outbox);
        sender.receive(Millis{10}, one, AnswerPageAck{handover, pages[1].sequence}, outbox);
        acknowledgeAll(sender, Millis{10}, outbox);
        CHECK(sender.isDone());
        CHECK(sender.count() == AnswerHandoverCount{1, 1});
    }
}

// Guards against lost answers when a receiver dies during the hand-over: of two receivers, one receives its first page
// and dies with the answers in that page.
TEST_CASE("answers that a lost receiver had not acknowledged completely go to the next one")
{
    Bodies bodies;
    const InstanceList list = makeInstanceList({one, two});
    std::vector<KeptAnswer> answers;
    for (std::uint64_t i = 1; answers.size() < 4; ++i) {
        const KeptAnswer answer = bodies.add(i, std::string(15, 'x'));
        if (list.selectInstances(answer.key, 1).front() == one) {
            answers.push_back(answer);
        }
    }
    AnswerSender sender(small, handover, bodies);
    Outbox outbox;
    sender.begin(Millis{0}, answers, list, outbox);
    REQUIRE(pagesTo(one, outbox).size() == 2);
    const AnswerPage firstPage = pagesTo(one, outbox)[0];
    outbox.clear();
    sender.receive(Millis{5}, one, AnswerPageAck{handover, firstPage.sequence}, outbox);
    outbox.clear();
    sender.removeReceiver(Millis{10}, one, outbox);
    CHECK(pagesTo(one, outbox).empty());
    std::map<RequestId, std::string> got;
    for (const AnswerPage &page : acknowledgeAll(sender, Millis{20}, outbox)) {
        for (const AnswerFragment &fragment : page.fragments) {
            got[fragment.answer.attempt] += fragment.bytes;
        }
    }
    REQUIRE(got.size() == 4);
    for (const auto &[attempt, body] : got) {
        CHECK(body == bodies.bodies[attempt]);
    }
    CHECK(sender.count() == AnswerHandoverCount{4, 0});
}

TEST_CASE("older answers beyond the byte bound of a hand-over are not sent")
{
    Bodies bodies;
    AnswerHandoverSettings few = small;
    few.maxTotalBytes = 7;
    const std::vector<KeptAnswer> answers{bodies.add(1, "abc"), bodies.add(2, "abcd"), bodies.add(3, "a")};
    AnswerSender sender(few, handover, bodies);
    Outbox outbox;
    sender.begin(Millis{0}, answers, makeInstanceList({one}), outbox);
    acknowledgeAll(sender, Millis{1}, outbox);
    CHECK(sender.count() == AnswerHandoverCount{2, 1});
}

TEST_CASE("the pages in flight to all receivers together are bounded")
{
    Bodies bodies;
    std::vector<InstanceId> names;
    for (int i = 0; i < 20; ++i) {
        names.push_back(InstanceId{"r" + std::to_string(i)});
    }
    std::vector<KeptAnswer> answers;
    for (std::uint64_t i = 1; i <= 50; ++i) {
        answers.push_back(bodies.add(i, "abcdefghij"));
    }
    AnswerSender sender(small, handover, bodies);
    Outbox outbox;
    sender.begin(Millis{0}, answers, makeInstanceList(names), outbox);
    CHECK(outbox.size() == small.pagesInFlight);
    acknowledgeAll(sender, Millis{1}, outbox);
    CHECK(sender.count() == AnswerHandoverCount{50, 0});
}
