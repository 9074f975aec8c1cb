#pragma once

// What one witness remembers: the claims of keys until they expire, and withdrawals for a while.
//
//     ClaimStore store(maxRecords, claimRetention, tombstoneLifetime);
//     store.add(now, ClaimRecord{key, attempt, 1, bodyDigest, holder, Millis{0}});
//     store.findClaims(now, key); // that record

#include "sequoiausher/coordination/messages/claimmessages.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** What became of a claim that was to be remembered. */
enum class StoreResult {
    Stored,
    /** The same or a later round of the attempt was withdrawn before: the claim came late. */
    Withdrawn,
    /** No room; nothing was forgotten for it. */
    Full,
};

/** Claims and withdrawals by key. Holds several attempts of one key only where hand-overs brought them. */
class ClaimStore
{
public:
    /** @param maxRecords bound on claims and withdrawals together. */
    ClaimStore(std::size_t maxRecords, Millis claimRetention, Millis tombstoneLifetime);
    ~ClaimStore();
    ClaimStore(const ClaimStore &) = delete;
    ClaimStore &operator=(const ClaimStore &) = delete;

    /** The claims of key that have not expired, with their ages at now. */
    std::vector<ClaimRecord> findClaims(Millis now, const ClaimKey &key) const;

    /** Remembers record as being record.age old; a known attempt takes the later round and the younger age. */
    StoreResult add(Millis now, const ClaimRecord &record);

    /**
     * Forgets the attempt's claim if its round is not later than round, and remembers the withdrawal against a claim
     * that it overtook: without that, the late claim would block the key until it expires.
     */
    void withdraw(Millis now, const ClaimKey &key, const RequestId &attempt, std::uint32_t round);

    /** Up to count live records from the first key at or after from. A key's records are not split over pages. */
    struct Page
    {
        std::vector<ClaimRecord> records;
        bool last = true;
        ClaimKey next;
    };
    template<typename Wanted>
    Page page(Millis now, const ClaimKey &from, std::size_t count, Wanted wanted) const;

    /** Drops what has expired. */
    void expire(Millis now);
    /** When expire next has work; Millis::never() without any. */
    Millis nextExpiry() const;
    /** Claims and withdrawals held. */
    std::size_t size() const;

private:
    /** The live records of the first key after from, or at it where inclusive; empty at the end. */
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
