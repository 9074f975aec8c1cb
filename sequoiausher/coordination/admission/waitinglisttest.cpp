#include "sequoiausher/coordination/admission/waitinglist.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace Sequoiausher;

namespace {

const InstanceId router{"r1"};
constexpr auto urgent = RequestClass::Urgent;
constexpr auto interactive = RequestClass::Interactive;
constexpr auto background = RequestClass::Background;

WaitingReservation
waitingOf(std::uint64_t id, std::uint16_t organisation, RequestClass requestClass, Millis deadline = {})
{
    WaitingReservation waiting;
    waiting.from = router;
    waiting.message.request = RequestId{0, id};
    waiting.message.organisation = organisation;
    waiting.message.requestClass = requestClass;
    waiting.deadline = deadline;
    return waiting;
}

/** Serves one reservation and returns it. */
std::optional<WaitingReservation> serveOne(WaitingList &list)
{
    std::optional<WaitingReservation> served;
    list.serve([&](const WaitingReservation &offered) {
        if (served) {
            return false;
        }
        served = offered;
        return true;
    });
    return served;
}

} // namespace

TEST_CASE("reservations are served by class, then by fair share, then by age")
{
    WaitingList list(100);
    list.add(waitingOf(1, 7, background));
    list.add(waitingOf(2, 7, interactive));
    list.add(waitingOf(3, 7, interactive));
    list.add(waitingOf(4, 8, interactive));
    list.add(waitingOf(5, 7, urgent));
    std::vector<std::uint64_t> order;
    while (const auto served = serveOne(list)) {
        order.push_back(served->message.request.low);
    }
    CHECK(order == std::vector<std::uint64_t>{5, 2, 4, 3, 1});
    CHECK(list.size() == 0);
}

// Guards against a free place that stays unused while reservations wait: the first one excludes the target that has
// room, and only the head of the list is considered.
TEST_CASE("a rejected reservation does not block another organisation or class")
{
    WaitingList list(100);
    list.add(waitingOf(1, 7, urgent));
    list.add(waitingOf(2, 8, urgent));
    list.add(waitingOf(3, 7, background));
    std::vector<std::uint64_t> offered;
    list.serve([&](const WaitingReservation &waiting) {
        offered.push_back(waiting.message.request.low);
        return false;
    });
    CHECK(offered == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(list.size() == 3);
}

TEST_CASE("no starvation: any 8 served include an interactive one, any 33 a background one, organisations take turns")
{
    WaitingList list(10000);
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        list.add(waitingOf(10 * i, 1, urgent));
        list.add(waitingOf(10 * i + 1, 1, interactive));
        list.add(waitingOf(10 * i + 2, 2, interactive));
        list.add(waitingOf(10 * i + 3, 1, background));
    }
    std::array<std::uint32_t, requestClassCount> since{};
    std::array<int, 3> served{};
    for (int i = 0; i < 600; ++i) {
        const ReserveRequest message = serveOne(list).value().message;
        for (std::uint32_t &count : since) {
            count += 1;
        }
        since[static_cast<std::size_t>(message.requestClass)] = 0;
        CHECK(since[1] < 8);
        CHECK(since[2] < 33);
        if (message.requestClass == interactive) {
            served[message.organisation] += 1;
        }
    }
    CHECK(std::abs(served[1] - served[2]) <= 1);
}

TEST_CASE("a full list sheds the newest of the organisation with the most waiting reservations of the lowest class")
{
    WaitingList list(3);
    CHECK(list.add(waitingOf(1, 7, background)).empty());
    CHECK(list.add(waitingOf(2, 7, background)).empty());
    CHECK(list.add(waitingOf(3, 8, background)).empty());
    std::vector<WaitingReservation> shed = list.add(waitingOf(4, 9, urgent));
    REQUIRE(shed.size() == 1);
    CHECK(shed.front().message.request.low == 2);
    CHECK(list.add(waitingOf(4, 9, urgent)).empty());
    CHECK(list.size() == 3);
}

TEST_CASE("random schedules: each reservation leaves exactly once, in order within its flow, and by its deadline")
{
    CHECK(rc::check([] {
        constexpr std::size_t most = 12;
        WaitingList list(most);
        std::map<RequestId, WaitingReservation> waiting;
        std::map<std::pair<std::uint32_t, RequestClass>, std::uint64_t> lastServed;
        std::uint64_t id = 0;
        Millis now{0};
        const auto left = [&](const WaitingReservation &gone) { RC_ASSERT(waiting.erase(gone.message.request) == 1U); };
        for (int step = 0; step < 200; ++step) {
            now += Millis{*rc::gen::inRange(0, 20)};
            const int what = *rc::gen::inRange(0, 10);
            if (what < 6) {
                const auto organisation = static_cast<std::uint16_t>(*rc::gen::inRange(0, 4));
                const auto requestClass = static_cast<RequestClass>(*rc::gen::inRange(0, 3));
                const WaitingReservation one = waitingOf(++id, organisation, requestClass, now + Millis{100});
                waiting.emplace(one.message.request, one);
                for (const WaitingReservation &shed : list.add(one)) {
                    left(shed);
                }
            } else if (what == 6 && !waiting.empty()) {
                const RequestId gone = waiting.begin()->first;
                list.remove(gone);
                waiting.erase(gone);
            } else if (what < 9) {
                if (const auto served = serveOne(list)) {
                    auto &last = lastServed[{served->message.organisation, served->message.requestClass}];
                    RC_ASSERT(served->message.request.low > last);
                    last = served->message.request.low;
                    left(*served);
                }
            }
            for (const WaitingReservation &late : list.takeExpired(now)) {
                RC_ASSERT(late.deadline <= now);
                left(late);
            }
            RC_ASSERT(list.size() == waiting.size());
            RC_ASSERT(list.size() <= most);
            for (const auto &entry : waiting) {
                RC_ASSERT(entry.second.deadline > now);
                RC_ASSERT(list.contains(entry.first));
            }
        }
        list.dropEntry(router);
        RC_ASSERT(list.size() == 0U);
    }));
}
