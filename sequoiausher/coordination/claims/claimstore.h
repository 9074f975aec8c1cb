#pragma once

// The records of one witness: claims until they expire, and withdrawals for a shorter time.
//
//     ClaimStore store(maxRecords, claimRetention, tombstoneLifetime);
//     store.add(now, ClaimRecord{key, attempt, 1, bodyDigest, holder, Millis{0}});
//     store.findClaims(now, key); // returns the record above

#include "sequoiausher/coordination/messages/claimmessages.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** The result of ClaimStore::add. */
enum class StoreResult {
    Stored,
    /** Not stored: the withdrawal of the same or a later round of the attempt arrived before the claim. */
    Withdrawn,
    /** Not stored: the store is full. No other record is evicted. */
    Full,
};

/** Claims and withdrawals by key. Holds several claims of one key only if a hand-over added them. */
class ClaimStore
{
public:
    /** @param maxRecords bound on the sum of claims and withdrawals. */
    ClaimStore(std::size_t maxRecords, Millis claimRetention, Millis tombstoneLifetime);
    ~ClaimStore();
    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /** The claims of key that have not expired, with their age at now. */
    std::vector<ClaimRecord> findClaims(Millis now, const ClaimKey &key) const;

    /** Stores a claim that is record.age old. A claim stored before keeps the later round and the smaller age. */
    StoreResult add(Millis now, const ClaimRecord &record);

    /**
     * Removes the attempt's claim and stores the withdrawal. Has no effect if a later round of the attempt is stored; a
     * full store does not remember the withdrawal of an attempt that it does not hold. Without the stored withdrawal, a
     * claim request that arrives after its withdrawal would block the key until that claim expires.
     */
    void withdraw(Millis now, const ClaimKey &key, const RequestId &attempt, std::uint32_t round);

    /**
     * Unexpired claims of the keys at or after from for which wanted(key) is true. The page ends before the first such
     * key at which it already has count records or more. The records of one key are not split over pages, so a page may
     * exceed count.
     */
    struct Page
    {
        std::vector<ClaimRecord> records;
        bool last = true;
        ClaimKey next;
    };
    template<typename Wanted>
    Page page(Millis now, const ClaimKey &from, std::size_t count, Wanted wanted) const;

    /** Removes expired records. */
    void expire(Millis now);
    /** When expire is due next; Millis::never() if the store is empty. */
    Millis nextExpiry() const;
    /** The number of stored claims and withdrawals. */
    std::size_t size() const;

private:
    /** The unexpired claims of the first key after from (inclusive: at or after from); empty at the end. */
    std::vector<ClaimRecord> recordsFrom(Millis now, const ClaimKey &from, bool inclusive) const;

    class Private;
    std::unique_ptr<Private> d;
};

template<typename Wanted>
ClaimStore::Page ClaimStore::page(Millis now, const ClaimKey &from, std::size_t count, Wanted wanted) const
{
    Page page;
    std::vector<ClaimRecord> records = this->recordsFrom(now, from, true);
    while (!records.empty()) {
        const ClaimKey key = records.front().key;
        if (wanted(key)) {
            if (page.records.size() >= count) {
                page.last = false;
                page.next = key;
                return page;
            }
            page.records.insert(page.records.end(), records.begin(), records.end());
        }
        records = this->recordsFrom(now, key, false);
    }
    return page;
}

} // namespace Sequoiausher
