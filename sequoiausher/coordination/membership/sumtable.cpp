#include "sequoiausher/coordination/membership/sumtable.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

/** Added to the age of each received sum; longer than a message takes, see SumTable. */
constexpr Millis hopAllowance{100};
constexpr Millis dropInterval{1000};

struct ShardKey
{
    PoolId pool;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardKey &) const = default;
};

struct KnownSum
{
    ShardSum sum;
    Millis countedAt;
    /** How often this sum was sent; starts at 0 with each newer sum. */
    std::uint32_t sends = 0;
    /** Value of sendCounter when the shard was last sent; 0 if it never was. */
    /** Value of sendCounter when the sum was last sent; 0 if it never was. */
    std::uint64_t lastSendNumber = 0;
};

ShardSum withAge(const KnownSum &known, Millis now)
{
    ShardSum sum = known.sum;
    sum.age = now - known.countedAt;
    return sum;
}

} // namespace

class SumTable::Private
{
public:
    Millis lifetime;
    std::map<ShardKey, KnownSum> sums;
    std::uint64_t sendCounter = 0;
    Millis nextDrop;

    void storeIfNewer(const ShardSum &sum, Millis countedAt)
    {
        const ShardKey key{sum.pool, sum.shard};
        KnownSum &known = this->sums.try_emplace(key, KnownSum{sum, countedAt, 0, 0}).first->second;
        if (countedAt > known.countedAt) {
            known.sum = sum;
            known.countedAt = countedAt;
            known.sends = 0;
        }
    }
};

SumTable::SumTable(Millis lifetime) : d(new Private{lifetime, {}, 0, {}})
{
}
SumTable::~SumTable() = default;

void SumTable::setOwn(Millis now, const std::vector<ShardSum> &sums)
{
    for (const ShardSum &sum : sums) {
        this->d->storeIfNewer(sum, now);
    }
}

void SumTable::merge(Millis now, const ShardSum &sum)
{
    const Millis age = std::max(sum.age, Millis{0}) + hopAllowance;
    if (age < this->d->lifetime) {
        this->d->storeIfNewer(sum, now - age);
    }
}

std::vector<ShardSum> SumTable::all(Millis now) const
{
    std::vector<ShardSum> sums;
    for (const auto &[key, known] : this->d->sums) {
        if (now - known.countedAt < this->d->lifetime) {
            sums.push_back(withAge(known, now));
        }
    }
    return sums;
}

std::vector<ShardSum> SumTable::takeNews(Millis now, std::size_t count, std::uint32_t sendLimit)
{
    std::vector<KnownSum *> order;
    for (auto &[key, known] : this->d->sums) {
        if (known.sends < sendLimit) {
            order.push_back(&known);
        }
    }
    const std::size_t taken = std::min(count, order.size());
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(taken),
                      order.end(),
                      [](const KnownSum *a, const KnownSum *b) { return a->lastSendNumber < b->lastSendNumber; });
    std::vector<ShardSum> sums;
    for (std::size_t i = 0; i < taken; ++i) {
        order[i]->sends += 1;
        order[i]->lastSendNumber = ++this->d->sendCounter;
        sums.push_back(withAge(*order[i], now));
    }
    return sums;
}

void SumTable::dropExpired(Millis now)
{
    if (now < this->d->nextDrop) {
        return;
    }
    this->d->nextDrop = now + dropInterval;
    for (auto at = this->d->sums.begin(); at != this->d->sums.end();) {
        if (now - at->second.countedAt >= this->d->lifetime) {
            at = this->d->sums.erase(at);
        } else {
            ++at;
        }
    }
}

} // namespace Sequoiausher
