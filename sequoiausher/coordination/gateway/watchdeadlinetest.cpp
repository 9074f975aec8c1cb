#include "sequoiausher/coordination/gateway/watchdeadline.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace Sequoiausher;

namespace {

constexpr Millis tick{40};
constexpr Millis travel{4};

/** The calls whose answers are lost, in the order in which they start after the change. */
enum class Lost { Watch, WatchAndList, WatchAndReading };

/**
 * A gateway whose only source is the store: one series of calls reads the configuration, the other one watches. One
 * change occurs, and some of the calls that are in flight then, or start later, get no answer.
 */
class LoneGateway
{
public:
    LoneGateway(const StoreTimes &with, Lost lost, Millis firstReading)
        : times(with)
        , deadline(with)
        , losesList(lost == Lost::WatchAndList)
        , losesReading(lost == Lost::WatchAndReading)
        , readingAt(firstReading)
    {
        this->deadline.recordReportedUpTo(1);
    }

    /**
     * Returns how long after the change the gateway learns of it. The watch starts at 0 and the change follows at once.
     */
    Millis findNotificationTime()
    {
        for (Millis now{0}; now < Millis{20000}; now = now + tick) {
            this->read(now);
            if (this->isListing && now >= this->callBegunAt + travel && !this->losesList) {
                return now;
            }
            const Millis limit
                = this->isListing ? this->times.callTimeout : this->times.watchTime + this->times.watchDelay;
            if (this->deadline.isOverdue(this->callBegunAt, now) || now - this->callBegunAt >= limit) {
                this->deadline.recordAbandonedCall();
                this->losesList = this->losesList && !this->isListing;
                this->isListing = true;
                this->callBegunAt = now;
            }
        }
        return Millis::never();
    }

private:
    void read(Millis now)
    {
        if (this->readingBegunAt && this->losesReading && now - *this->readingBegunAt >= this->times.callTimeout) {
            this->losesReading = false;
            this->readingBegunAt.reset();
            this->readingAt = now;
        } else if (this->readingBegunAt && !this->losesReading && now >= *this->readingBegunAt + travel) {
            this->deadline.recordStoreRevision(2, travel, now);
            this->readingBegunAt.reset();
            this->readingAt = now + this->times.proofInterval;
        }
        if (!this->readingBegunAt && now >= this->readingAt) {
            this->readingBegunAt = now;
        }
    }

    StoreTimes times;
    WatchDeadline deadline;
    bool losesList = false;
    bool losesReading = false;
    bool isListing = false;
    Millis callBegunAt;
    Millis readingAt;
    std::optional<Millis> readingBegunAt;
};

} // namespace

// Guards against waits that add up to more than the bound when answers of the store are lost.
TEST_CASE("a gateway without peers learns of a change within the bound even if any two successive calls are lost")
{
    for (const std::int64_t bound : {500, 1000, 2000, 3000, 4000, 10000}) {
        const StoreTimes times = limitStoreTimes(StoreTimes(), Millis{bound});
        for (const Lost lost : {Lost::Watch, Lost::WatchAndList, Lost::WatchAndReading}) {
            for (Millis reading{0}; reading <= times.proofInterval; reading = reading + Millis{5}) {
                CAPTURE(bound);
                CAPTURE(static_cast<int>(lost));
                CAPTURE(reading.count);
                CHECK(LoneGateway(times, lost, reading).findNotificationTime() < Millis{bound});
            }
        }
    }
}

TEST_CASE("the given times are kept where the bound allows them")
{
    const StoreTimes given;
    const StoreTimes times = limitStoreTimes(given, Millis{4000});
    CHECK(times.callTimeout == given.callTimeout);
    CHECK(times.watchTime == given.watchTime);
    CHECK(times.watchDelay == given.watchDelay);
    CHECK(times.proofInterval == given.proofInterval);
    CHECK(times.batchDelay == given.batchDelay);
}

// Guards against abandoning watches before they can be answered by a store that is only slow.
TEST_CASE("a watch is overdue only after it had time to report, and a slow store gets more time")
{
    WatchDeadline deadline((StoreTimes()));
    const Millis after = StoreTimes().overdueAfter;
    deadline.recordReportedUpTo(5);
    deadline.recordStoreRevision(5, travel, Millis{1000});
    CHECK_FALSE(deadline.isOverdue(Millis{0}, Millis{9000}));
    deadline.recordStoreRevision(6, travel, Millis{1000});
    deadline.recordStoreRevision(7, travel, Millis{1100});
    CHECK_FALSE(deadline.isOverdue(Millis{0}, Millis{999} + after));
    CHECK(deadline.isOverdue(Millis{0}, Millis{1000} + after));
    CHECK_FALSE(deadline.isOverdue(Millis{1200}, Millis{1199} + after));
    deadline.recordAbandonedCall();
    CHECK_FALSE(deadline.isOverdue(Millis{0}, Millis{1000} + after));
    CHECK(deadline.isOverdue(Millis{0}, Millis{1000} + after * 2));
    deadline.recordReportedUpTo(6);
    CHECK_FALSE(deadline.isOverdue(Millis{0}, Millis{9000}));
    deadline.recordStoreRevision(8, Millis{800}, Millis{9000});
    CHECK_FALSE(deadline.isOverdue(Millis{0}, Millis{10599}));
    CHECK(deadline.isOverdue(Millis{0}, Millis{10600}));
}
