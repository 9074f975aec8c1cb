#include "sequoiausher/coordination/claims/claimstore.h"

#include <algorithm>
#include <map>
#include <set>

namespace Sequoiausher {

namespace {

/** The claim of one attempt, or its withdrawal. */
struct Entry
{
    ClaimRecord record;
    Millis recordedAt;
    bool withdrawn = false;
};

/** The time at which entries of a key may expire. */
struct Expiry
{
    Millis at;
    ClaimKey key;

    auto operator<=>(const Expiry &) const = default;
};

} // namespace

class ClaimStore::Private
{
public:
    Millis expiryOf(const Entry &entry) const
    {
        return entry.recordedAt + (entry.withdrawn ? this->tombstoneLifetime : this->claimRetention);
    }

    Entry *find(const ClaimKey &key, const RequestId &attempt)
    {
        const auto found = this->entries.find(key);
        if (found == this->entries.end()) {
            return nullptr;
        }
        const auto same = [&](const Entry &entry) { return entry.record.attempt == attempt; };
        const auto entry = std::find_if(found->second.begin(), found->second.end(), same);
        return entry == found->second.end() ? nullptr : &*entry;
    }

    std::vector<ClaimRecord> liveRecords(Millis now, const std::vector<Entry> &list) const
    {
        std::vector<ClaimRecord> records;
        for (const Entry &entry : list) {
            if (!entry.withdrawn && now < this->expiryOf(entry)) {
                records.push_back(entry.record);
                records.back().age = now - entry.recordedAt;
            }
        }
        return records;
    }

    bool insert(const Entry &entry)
    {
        if (this->count >= this->maxRecords) {
            return false;
        }
        this->entries[entry.record.key].push_back(entry);
        this->expiries.insert(Expiry{this->expiryOf(entry), entry.record.key});
        ++this->count;
        return true;
    }

    std::size_t maxRecords = 0;
    Millis claimRetention;
    Millis tombstoneLifetime;
    std::map<ClaimKey, std::vector<Entry>> entries;
    std::set<Expiry> expiries;
    std::size_t count = 0;
};

ClaimStore::ClaimStore(std::size_t maxRecords, Millis claimRetention, Millis tombstoneLifetime)
    : d(std::make_unique<Private>())
{
    this->d->maxRecords = maxRecords;
    this->d->claimRetention = claimRetention;
    this->d->tombstoneLifetime = tombstoneLifetime;
}

ClaimStore::~ClaimStore() = default;

std::vector<ClaimRecord> ClaimStore::findClaims(Millis now, const ClaimKey &key) const
{
    const auto found = this->d->entries.find(key);
    return found == this->d->entries.end() ? std::vector<ClaimRecord>{} : this->d->liveRecords(now, found->second);
}

StoreResult ClaimStore::add(Millis now, const ClaimRecord &record)
{
    this->expire(now);
    const Millis recordedAt = now - record.age;
    Entry *known = this->d->find(record.key, record.attempt);
    if (known == nullptr) {
        return this->d->insert(Entry{record, recordedAt, false}) ? StoreResult::Stored : StoreResult::Full;
    }
    if (known->withdrawn && record.round <= known->record.round) {
        return StoreResult::Withdrawn;
    }
    const std::uint32_t round = std::max(known->record.round, record.round);
    known->recordedAt = known->withdrawn ? recordedAt : std::max(known->recordedAt, recordedAt);
    known->record = record;
    known->record.round = round;
    known->withdrawn = false;
    return StoreResult::Stored;
}

void ClaimStore::withdraw(Millis now, const ClaimKey &key, const RequestId &attempt, std::uint32_t round)
{
    this->expire(now);
    Entry *known = this->d->find(key, attempt);
    if (known == nullptr) {
        // A full store does not remember the withdrawal. A claim request that arrives later then blocks the key until
        // it expires: requests are refused, but none is dispatched twice.
        this->d->insert(Entry{ClaimRecord{key, attempt, round, 0, {}, {}}, now, true});
        return;
    }
    if (round < known->record.round) {
        return;
    }
    known->record.round = round;
    known->withdrawn = true;
    known->recordedAt = now;
    this->d->expiries.insert(Expiry{this->d->expiryOf(*known), key});
}

std::vector<ClaimRecord> ClaimStore::recordsFrom(Millis now, const ClaimKey &from, bool inclusive) const
{
    auto at = inclusive ? this->d->entries.lower_bound(from) : this->d->entries.upper_bound(from);
    for (; at != this->d->entries.end(); ++at) {
        std::vector<ClaimRecord> records = this->d->liveRecords(now, at->second);
        if (!records.empty()) {
            return records;
        }
    }
    return {};
}

void ClaimStore::expire(Millis now)
{
    while (!this->d->expiries.empty() && this->d->expiries.begin()->at <= now) {
        const ClaimKey key = this->d->expiries.begin()->key;
        this->d->expiries.erase(this->d->expiries.begin());
        const auto found = this->d->entries.find(key);
        if (found == this->d->entries.end()) {
            continue;
        }
        std::vector<Entry> &list = found->second;
        const auto isExpired = [&](const Entry &entry) { return this->d->expiryOf(entry) <= now; };
        this->d->count -= std::erase_if(list, isExpired);
        if (list.empty()) {
            this->d->entries.erase(found);
            continue;
        }
        // A claim that was renewed expires later than the expiry entry that was made for it.
        for (const Entry &entry : list) {
            this->d->expiries.insert(Expiry{this->d->expiryOf(entry), key});
        }
    }
}

Millis ClaimStore::nextExpiry() const
{
    return this->d->expiries.empty() ? Millis::never() : this->d->expiries.begin()->at;
}

std::size_t ClaimStore::size() const
{
    return this->d->count;
}

} // namespace Sequoiausher
