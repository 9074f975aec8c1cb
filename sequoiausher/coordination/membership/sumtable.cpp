#include "sequoiausher/coordination/membership/sumtable.h"

#include "sequoiausher/coordination/membership/newsqueue.h"

#include <map>

namespace Sequoiausher {

namespace {

constexpr Millis hopAllowance{100};

/** A shard of a pool. */
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
    NewsQueue<ShardKey> queue;

    void keep(const ShardSum &sum, Millis countedAt)
    {
        const ShardKey key{sum.pool, sum.shard};
        const auto known = this->sums.find(key);
        if (known != this->sums.end() && known->second.countedAt >= countedAt) {
            return;
        }
        this->sums[key] = KnownSum{sum, countedAt};
        this->queue.add(key);
    }
};

SumTable::SumTable(Millis lifetime) : d(new Private{lifetime, {}, {}})
{
}
SumTable::~SumTable() = default;

void SumTable::setOwn(Millis now, const std::vector<ShardSum> &sums)
{
    for (const ShardSum &sum : sums) {
        this->d->keep(sum, now);
    }
}

void SumTable::merge(Millis now, const ShardSum &sum)
{
    const Millis age = std::max(sum.age, Millis{0}) + hopAllowance;
    if (age < this->d->lifetime) {
        this->d->keep(sum, now - age);
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
    std::vector<ShardSum> sums;
    for (const ShardKey &key : this->d->queue.take(count, sendLimit)) {
        sums.push_back(withAge(this->d->sums.at(key), now));
    }
    return sums;
}

void SumTable::dropOld(Millis now)
{
    for (auto at = this->d->sums.begin(); at != this->d->sums.end();) {
        if (now - at->second.countedAt >= this->d->lifetime) {
            this->d->queue.remove(at->first);
            at = this->d->sums.erase(at);
        } else {
            ++at;
        }
    }
}

} // namespace Sequoiausher
