// Runs two owners of one shard under the same schedule: one receives reports, the other receives digests and, if it
// asks for one, a report. After each round, both must have the same counts.

#include "sequoiausher/base/hashing.h"
#include "sequoiausher/coordination/admission/holdingset.h"
#include "sequoiausher/coordination/admission/shardowner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>

using namespace Sequoiausher;

namespace {

const PoolId pool{"plates"};
const std::vector<InstanceId> entries{InstanceId{"r0"}, InstanceId{"r1"}, InstanceId{"r2"}};
constexpr int targetCount = 4;

std::vector<TargetView> someTargets()
{
    std::vector<TargetView> targets;
    for (int i = 0; i < targetCount; ++i) {
        const TargetId name{"t" + std::to_string(i)};
        targets.push_back({{name, "", DataCentreId{}, {1, LifeState::Live}, {}}, hash64(name.value)});
    }
    return targets;
}

/** The state of one entry. */
struct Entry
{
    std::map<RequestId, TargetId> kept;
    std::vector<RequestId> pending;
    std::uint64_t sequence = 0;
    HoldingsReport lastReport;
    HoldingsDigest lastDigest;
};

/** Whether a digest that differs is followed by a report. With Ignore, the counts of the two owners must differ. */
enum class DigestMismatch { RequestReport, Ignore };

class TwoOwners
{
public:
    TwoOwners(std::uint64_t seed, DigestMismatch how) : random(seed), onMismatch(how)
    {
        this->restartOwners();
    }

    void step(int kind)
    {
        const InstanceId &name = entries.at(this->random() % entries.size());
        Entry &entry = this->entryStates[name];
        if (kind < 35) {
            this->reserve(name, entry);
        } else if (kind < 55) {
            this->release(name, entry);
        } else if (kind < 85) {
            this->report(name, entry);
        } else if (kind < 90) {
            this->repeat(name, entry);
        } else if (kind == 90) {
            this->restartOwners();
        } else if (kind == 91) {
            this->restartEntry(entry);
        } else {
            this->advance(Millis{static_cast<std::int64_t>(this->random() % 4000)});
        }
    }

    void compare() const
    {
        for (int i = 0; i < targetCount; ++i) {
            const TargetId target{"t" + std::to_string(i)};
            RC_ASSERT(this->byReports->counted(target) == this->byDigests->counted(target));
        }
        RC_ASSERT(this->byReports->holdings() == this->byDigests->holdings());
        RC_ASSERT(this->byReports->isSettled(this->now) == this->byDigests->isSettled(this->now));
    }

    std::size_t avoidedReports = 0;

private:
    /** Both owners lose all counts, and the entries do not notice. */
    void restartOwners()
    {
        for (auto *owner : {&this->byReports, &this->byDigests}) {
            *owner = std::make_unique<ShardOwner>(ShardId{pool, 0}, OwnerSettings{}, 1, this->now);
            (*owner)->setTargets(this->now, someTargets());
            (*owner)->setEntries(entries);
        }
    }

    static void restartEntry(Entry &entry)
    {
        entry.kept.clear();
        entry.pending.clear();
        entry.sequence += 1000;
    }

    /** Both owners have the same counts and must answer the same. The message or its answer may be lost for both. */
    void reserve(const InstanceId &name, Entry &entry)
    {
        const ReserveRequest request{
            RequestId{1, ++this->lastRequest}, pool, 0, this->random(), PolicyKind::BoundedRendezvous, 125, {}};
        entry.pending.push_back(request.request);
        if (this->random() % 8 == 0) {
            return;
        }
        Outbox first;
        Outbox second;
        this->byReports->receive(this->now, name, request, first);
        this->byDigests->receive(this->now, name, request, second);
        RC_ASSERT(first == second);
        const auto &reply = std::get<ReserveReply>(first.at(0).message);
        if (this->random() % 8 != 0) {
            entry.pending.pop_back();
            if (reply.verdict == ReserveVerdict::Granted) {
                entry.kept[request.request] = reply.target;
            }
        }
    }

    void release(const InstanceId &name, Entry &entry)
    {
        if (this->random() % 3 == 0 && !entry.pending.empty()) {
            this->sendRelease(name, entry.pending.back());
            entry.pending.pop_back();
        } else if (!entry.kept.empty()) {
            this->sendRelease(name, entry.kept.begin()->first);
            entry.kept.erase(entry.kept.begin());
        }
    }

    void sendRelease(const InstanceId &name, const RequestId &request)
    {
        if (this->random() % 4 != 0) {
            this->byReports->receive(this->now, name, Release{request, pool, 0});
            this->byDigests->receive(this->now, name, Release{request, pool, 0});
        }
    }

    void report(const InstanceId &name, Entry &entry)
    {
        HoldingSet set;
        HoldingsReport report{pool, 0, ++entry.sequence, {}};
        for (const auto &[request, target] : entry.kept) {
            set.add(request);
            report.holdings.push_back({request, target});
        }
        for (const RequestId &request : entry.pending) {
            report.holdings.push_back({request, TargetId{}});
        }
        const HoldingsDigest digest{pool, 0, entry.sequence, set.count, set.digest};
        report.sequence = ++entry.sequence;
        entry.lastReport = report;
        entry.lastDigest = digest;
        this->byReports->receive(this->now, name, report);
        if (!this->byDigests->receive(this->now, name, digest)) {
            this->avoidedReports += 1;
        } else if (this->onMismatch == DigestMismatch::RequestReport) {
            this->byDigests->receive(this->now, name, report);
        }
        this->compare();
    }

    /** The messages of the last round arrive again, late. */
    void repeat(const InstanceId &name, const Entry &entry)
    {
        if (entry.sequence > 0) {
            this->byReports->receive(this->now, name, entry.lastReport);
            if (this->byDigests->receive(this->now, name, entry.lastDigest)) {
                this->byDigests->receive(this->now, name, entry.lastReport);
            }
        }
    }

    void advance(Millis span)
    {
        this->now += span;
        this->byReports->tick(this->now);
        this->byDigests->tick(this->now);
    }

    std::mt19937_64 random;
    DigestMismatch onMismatch;
    Millis now{1};
    std::uint64_t lastRequest = 0;
    std::map<InstanceId, Entry> entryStates;
    std::unique_ptr<ShardOwner> byReports;
    std::unique_ptr<ShardOwner> byDigests;
};

void runSchedule(TwoOwners &owners)
{
    const auto kinds = *rc::gen::resize(400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
    for (const int kind : kinds) {
        owners.step(kind);
    }
    owners.compare();
}

bool countsAgree(DigestMismatch onMismatch, std::size_t seeds)
{
    try {
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            TwoOwners owners(seed, onMismatch);
            std::mt19937_64 random(seed);
            for (int i = 0; i < 300; ++i) {
                owners.step(static_cast<int>(random() % 100));
            }
        }
    } catch (const rc::detail::CaseResult &) {
        return false;
    }
    return true;
}

} // namespace

// Guards against an owner that counts too many or too few reservations on a target, so that its bound is broken or
// places stay empty: requests, answers and releases are lost, the entry's digest differs from what the owner counts,
// and the owner concludes more from the digest than it shows.
TEST_CASE("an owner that receives digests has the same counts as an owner that receives reports")
{
    CHECK(rc::check([](std::uint64_t seed) {
        TwoOwners owners(seed, DigestMismatch::RequestReport);
        runSchedule(owners);
        RC_CLASSIFY(owners.avoidedReports > 10, "more than ten reports spared");
    }));
    CHECK(countsAgree(DigestMismatch::RequestReport, 20));
}

TEST_CASE("an owner that does not ask for the report where a digest differs counts wrongly")
{
    CHECK(!countsAgree(DigestMismatch::Ignore, 20));
}
