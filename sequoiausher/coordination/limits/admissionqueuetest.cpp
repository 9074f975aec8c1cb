#include "sequoiausher/coordination/limits/admissionqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

using namespace Sequoiausher;

namespace {

QueueEntry entryOf(std::uint64_t id,
                   const std::string &organisation,
                   RequestClass requestClass = RequestClass::Interactive,
                   Millis by = Millis::never())
{
    return {RequestId{0, id}, OrganisationId{organisation}, requestClass, by, 1};
}

/** A queue with one slot, which request 1000 occupies, and by default room for four waiting requests. */
struct BusyQueue
{
    explicit BusyQueue(std::size_t maxWaiting = 4) : queue({1, maxWaiting, Millis{50}, Millis{1000}, Millis{30000}})
    {
        this->queue.offer(Millis{0}, entryOf(1000, "first"), this->actions);
    }

    /** Finishes the request in flight, and returns the one that is dispatched next. */
    QueueEntry next(Millis now)
    {
        std::vector<QueueAction> dispatched;
        this->queue.finish(now, this->inFlightId, dispatched);
        REQUIRE(dispatched.size() == 1);
        this->inFlightId = dispatched.front().entry.request;
        return dispatched.front().entry;
    }

    AdmissionQueue queue;
    std::vector<QueueAction> actions;
    RequestId inFlightId{0, 1000};
};

} // namespace

TEST_CASE("background is shed first and urgent last, within a class from the organisation with the most waiting")
{
    struct Row
    {
        const char *what;
        std::vector<std::pair<const char *, RequestClass>> waiting;
        std::pair<const char *, RequestClass> arriving;
        /** The index of the request that is shed; -1 for the arriving one. */
        int shed;
    };
    constexpr auto urgent = RequestClass::Urgent;
    constexpr auto interactive = RequestClass::Interactive;
    constexpr auto background = RequestClass::Background;
    const std::vector<Row> rows{
        {"background is shed for urgent",
         {{"a", urgent}, {"b", interactive}, {"c", background}, {"d", urgent}},
         {"e", urgent},
         2},
        {"interactive is shed for urgent",
         {{"a", urgent}, {"b", interactive}, {"c", urgent}, {"d", urgent}},
         {"e", urgent},
         1},
        {"background is shed for interactive",
         {{"a", background}, {"a", background}, {"b", background}, {"c", interactive}},
         {"b", interactive},
         1},
        {"arriving background is refused",
         {{"a", urgent}, {"a", urgent}, {"a", urgent}, {"a", interactive}},
         {"b", background},
         -1},
        {"the newest request of a surging organisation is shed",
         {{"a", interactive}, {"a", interactive}, {"a", interactive}, {"b", interactive}},
         {"c", interactive},
         2},
        {"a surging organisation's arriving request is refused",
         {{"a", interactive}, {"a", interactive}, {"a", interactive}, {"b", interactive}},
         {"a", interactive},
         -1},
        {"urgent is shed only for urgent of an organisation with less",
         {{"a", urgent}, {"a", urgent}, {"b", urgent}, {"c", urgent}},
         {"d", urgent},
         1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        BusyQueue busy;
        std::uint64_t id = 0;
        for (const auto &waiting : row.waiting) {
            const QueueEntry entry = entryOf(id++, waiting.first, waiting.second);
            REQUIRE(busy.queue.offer(Millis{1}, entry, busy.actions).verdict == QueueVerdict::Queue);
        }
        const QueueEntry arriving = entryOf(99, row.arriving.first, row.arriving.second);
        const QueueDecision decision = busy.queue.offer(Millis{1}, arriving, busy.actions);
        CHECK((decision.verdict == QueueVerdict::Refuse) == (row.shed < 0));
        CHECK(busy.actions.size() == (row.shed < 0 ? 0U : 1U));
        if (row.shed >= 0 && !busy.actions.empty()) {
            CHECK(busy.actions.front().entry.request.low == static_cast<std::uint64_t>(row.shed));
            CHECK(busy.actions.front().decision.reason == QueueRefusalReason::Full);
            CHECK(busy.actions.front().decision.retryAfter >= Millis{1000});
        }
    }
}

// Guards against starvation: with strict priority, other requests would never be answered while urgent requests arrive
// faster than they are served.
TEST_CASE("many urgent requests delay neither interactive nor background requests beyond the documented bounds")
{
    BusyQueue busy(1000);
    std::uint64_t id = 0;
    for (int i = 0; i < 300; ++i) {
        busy.queue.offer(Millis{1}, entryOf(++id, "u", RequestClass::Urgent), busy.actions);
    }
    for (int i = 0; i < 60; ++i) {
        busy.queue.offer(Millis{1}, entryOf(++id, "i"), busy.actions);
        busy.queue.offer(Millis{1}, entryOf(++id, "b", RequestClass::Background), busy.actions);
    }
    std::map<RequestClass, std::uint32_t> since;
    std::map<RequestClass, int> served;
    for (int i = 0; i < 300; ++i) {
        const RequestClass requestClass = busy.next(Millis{i + 2}).requestClass;
        for (const auto &entry : nameTable<RequestClass>) {
            since[entry.value] = entry.value == requestClass ? 0 : since[entry.value] + 1;
        }
        ++served[requestClass];
        CHECK(since[RequestClass::Interactive] < interactiveInterval);
        CHECK(since[RequestClass::Background] < backgroundInterval);
    }
    CHECK(served[RequestClass::Urgent] > 300 * 8 / 10);
}

TEST_CASE("organisations share by work, however many requests one of them has waiting")
{
    BusyQueue busy(1000);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        busy.queue.offer(Millis{1}, entryOf(i, "surging"), busy.actions);
    }
    QueueEntry heavy = entryOf(201, "heavy");
    heavy.cost = 10;
    busy.queue.offer(Millis{1}, heavy, busy.actions);
    heavy.request.low = 202;
    busy.queue.offer(Millis{1}, heavy, busy.actions);
    std::vector<std::string> order;
    for (int i = 0; i < 14; ++i) {
        order.push_back(busy.next(Millis{i + 2}).organisation.value);
    }
    CHECK(std::count(order.begin(), order.begin() + 2, "heavy") == 1);
    CHECK(std::count(order.begin(), order.end(), "heavy") == 2);
    CHECK(std::count(order.begin(), order.begin() + 10, "heavy") == 1);
}

// Guards against late refusals: a request queued behind more work than fits before its deadline was refused only at the
// deadline, too late for the caller to try elsewhere.
TEST_CASE("a request that cannot meet its deadline is refused on arrival, or on the first check after others got ahead")
{
    BusyQueue busy(100);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        busy.queue.offer(Millis{1}, entryOf(i, "a"), busy.actions);
    }
    busy.next(Millis{100}); // the service time is 100 ms, and 19 requests wait
    const QueueDecision decision
        = busy.queue.offer(Millis{100}, entryOf(50, "a", RequestClass::Interactive, Millis{1600}), busy.actions);
    CHECK(decision.verdict == QueueVerdict::Refuse);
    CHECK(decision.reason == QueueRefusalReason::Deadline);
    CHECK(decision.retryAfter >= Millis{2000});
    CHECK(decision.retryAfter <= Millis{2500});
    const QueueEntry other = entryOf(51, "b", RequestClass::Interactive, Millis{900});
    CHECK(busy.queue.offer(Millis{100}, other, busy.actions).verdict == QueueVerdict::Queue);
    for (std::uint64_t i = 60; i < 90; ++i) {
        busy.queue.offer(Millis{101}, entryOf(i, "c", RequestClass::Urgent), busy.actions);
    }
    busy.actions.clear();
    CHECK(busy.queue.nextDeadline() <= Millis{151});
    busy.queue.tick(Millis{151}, busy.actions);
    REQUIRE(busy.actions.size() == 1);
    CHECK(busy.actions.front().entry.request.low == 51);
}

// Guards against work for a caller that has given up: the deadline of a request passes between two checks, and a slot
// becomes free before the next one. Deadlines must also be checked on dispatch.
TEST_CASE("a request whose deadline has passed is not dispatched")
{
    BusyQueue busy;
    const QueueEntry entry = entryOf(1, "a", RequestClass::Urgent, Millis{30});
    REQUIRE(busy.queue.offer(Millis{1}, entry, busy.actions).verdict == QueueVerdict::Queue);
    busy.queue.finish(Millis{31}, busy.inFlightId, busy.actions);
    REQUIRE(busy.actions.size() == 1);
    CHECK(busy.actions.front().decision.reason == QueueRefusalReason::Deadline);
    CHECK(busy.queue.inFlight() == 0);
}

TEST_CASE("if the pool is full, the request keeps its position, and the slots shrink and grow again")
{
    AdmissionQueue queue({4, 10, Millis{50}, Millis{1000}, Millis{30000}});
    std::vector<QueueAction> actions;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        queue.offer(Millis{0}, entryOf(i, "a"), actions);
    }
    queue.putBack(Millis{1}, {0, 4}, Millis{200}, actions);
    CHECK(queue.effectiveSlots() == 3);
    queue.finish(Millis{10}, {0, 1}, actions);
    CHECK(actions.empty());
    CHECK(queue.nextDeadline() <= Millis{201});
    queue.tick(Millis{201}, actions);
    REQUIRE(!actions.empty());
    CHECK(actions.front().entry.request.low == 4);
    for (std::uint64_t i = 2; i <= 6; ++i) {
        queue.finish(Millis{300}, {0, i}, actions);
    }
    CHECK(queue.effectiveSlots() == 4);
    CHECK(queue.inFlight() == 0);
    CHECK(queue.nextDeadline() == Millis::never());
}

// Guards against urgent requests that wait for hundreds of milliseconds at a router with few requests in flight: the
// owner had no room for a background request, or for another request of a surging organisation, and this held back the
// whole queue until one of the router's own requests was done.
TEST_CASE("a pool that is full for one organisation and class does not hold back the others")
{
    struct Row
    {
        const char *organisation;
        RequestClass requestClass;
        QueueVerdict verdict;
    };
    const std::vector<Row> rows{{"a", RequestClass::Interactive, QueueVerdict::Queue},
                                {"a", RequestClass::Urgent, QueueVerdict::Dispatch},
                                {"b", RequestClass::Interactive, QueueVerdict::Dispatch},
                                {"b", RequestClass::Background, QueueVerdict::Dispatch}};
    for (const Row &row : rows) {
        CAPTURE(row.organisation);
        AdmissionQueue queue({64, 10, Millis{50}, Millis{1000}, Millis{30000}});
        std::vector<QueueAction> actions;
        queue.offer(Millis{0}, entryOf(1, "a"), actions);
        queue.putBack(Millis{1}, {0, 1}, Millis{50}, actions);
        CHECK(queue.offer(Millis{2}, entryOf(2, row.organisation, row.requestClass), actions).verdict == row.verdict);
        CHECK(actions.empty());
        queue.tick(Millis{51}, actions);
        REQUIRE(actions.size() == 1);
        CHECK(actions.front().entry.request.low == 1);
    }
}

TEST_CASE("after a refused reservation, a backlog reserves one at a time, and one more with each reservation granted")
{
    AdmissionQueue queue({64, 100, Millis{50}, Millis{1000}, Millis{30000}});
    std::vector<QueueAction> actions;
    queue.offer(Millis{0}, entryOf(1, "a"), actions);
    queue.putBack(Millis{1}, {0, 1}, Millis{50}, actions);
    for (std::uint64_t i = 2; i <= 20; ++i) {
        CHECK(queue.offer(Millis{2}, entryOf(i, "a"), actions).verdict == QueueVerdict::Queue);
    }
    queue.tick(Millis{51}, actions);
    REQUIRE(actions.size() == 1);
    queue.granted(Millis{52}, {0, 1}, actions);
    CHECK(actions.size() == 3);
    queue.granted(Millis{53}, {0, 2}, actions);
    CHECK(actions.size() == 5);
    queue.granted(Millis{53}, {0, 2}, actions);
    CHECK(actions.size() == 5);
    CHECK(queue.dispatched({0, 3}).value().organisation == OrganisationId{"a"});
    CHECK(!queue.dispatched({0, 20}));
}

TEST_CASE(
    "for any events, bounds hold, each request is decided exactly once, and requests of one organisation and class are "
    "dispatched in order of arrival")
{
    CHECK(rc::check([] {
        AdmissionQueue queue({3, 12, Millis{50}, Millis{1000}, Millis{30000}});
        std::vector<QueueAction> actions;
        std::set<RequestId> inFlightIds;
        std::map<RequestId, QueueEntry> waiting;
        std::map<std::pair<std::string, RequestClass>, std::uint64_t> lastDispatched;
        std::uint64_t id = 0;
        Millis now{0};
        for (int step = 0; step < 300; ++step) {
            now += Millis{*rc::gen::inRange(0, 30)};
            const int what = *rc::gen::inRange(0, 10);
            if (what < 5) {
                const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                const auto requestClass = static_cast<RequestClass>(*rc::gen::inRange(0, 3));
                const Millis by = what == 0 ? now + Millis{*rc::gen::inRange(1, 300)} : Millis::never();
                const QueueEntry entry = entryOf(++id, name, requestClass, by);
                const QueueDecision decision = queue.offer(now, entry, actions);
                if (decision.verdict == QueueVerdict::Dispatch) {
                    inFlightIds.insert(entry.request);
                } else if (decision.verdict == QueueVerdict::Queue) {
                    waiting.emplace(entry.request, entry);
                }
            } else if (what < 8 && !inFlightIds.empty()) {
                const RequestId done = *inFlightIds.begin();
                inFlightIds.erase(done);
                queue.finish(now, done, actions);
            } else if (what == 8 && !waiting.empty()) {
                queue.cancel(waiting.begin()->first);
                waiting.erase(waiting.begin());
            } else {
                queue.tick(now, actions);
            }
            for (const QueueAction &action : actions) {
                RC_ASSERT(waiting.erase(action.entry.request) == 1U);
                if (action.decision.verdict == QueueVerdict::Dispatch) {
                    inFlightIds.insert(action.entry.request);
                    auto &last = lastDispatched[{action.entry.organisation.value, action.entry.requestClass}];
                    RC_ASSERT(action.entry.request.low > last);
                    last = action.entry.request.low;
                } else {
                    RC_ASSERT(action.decision.retryAfter >= Millis{1000});
                }
            }
            actions.clear();
            RC_ASSERT(queue.waiting() == waiting.size());
            RC_ASSERT(queue.waiting() <= 12U);
            RC_ASSERT(queue.inFlight() == inFlightIds.size());
            RC_ASSERT(inFlightIds.size() <= 3U);
            RC_ASSERT(waiting.empty() || inFlightIds.size() == 3U);
        }
    }));
}
